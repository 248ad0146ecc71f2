"""Checks a running entry with the unmodified `openai` client: answers, streams, and errors.

Usage: openai_client_check.py BASE_URL KEY MODEL, for example http://127.0.0.1:8080/v1 dev-key composer
"""

import sys

import openai


def expect(error, call):
    try:
        call()
    except error as raised:
        print(f"ok: {error.__name__} {raised.status_code} {raised.code}")
        return
    raise SystemExit(f"no {error.__name__}")


def main():
    base_url, key, model = sys.argv[1:4]
    client = openai.OpenAI(base_url=base_url, api_key=key, max_retries=0)

    names = [entry.id for entry in client.models.list()]
    assert model in names, names

    whole = client.completions.create(model=model, prompt="a peal plan", max_tokens=20)
    assert len(whole.choices[0].text) == 9 * whole.usage.completion_tokens, whole
    print(f"ok: completion of {whole.usage.completion_tokens} tokens")

    text, usage, ids = "", None, []
    for chunk in client.completions.create(
        model=model, prompt="a peal plan", max_tokens=20, stream=True
    ):
        ids.append(chunk.id)
        if chunk.choices:
            text += chunk.choices[0].text
        usage = chunk.usage or usage
    assert len(set(ids)) == 1 and len(text) == 9 * usage.completion_tokens, (ids, text, usage)
    print(f"ok: streamed completion of {usage.completion_tokens} tokens")

    messages = [{"role": "system", "content": "short"}, {"role": "user", "content": "a plan"}]
    chat = client.chat.completions.create(model=model, messages=messages, max_tokens=20)
    assert chat.choices[0].message.content and chat.choices[0].finish_reason, chat
    print(f"ok: chat of {chat.usage.completion_tokens} tokens")

    text, usage = "", None
    stream = client.chat.completions.create(
        model=model,
        messages=messages,
        max_tokens=20,
        stream=True,
        stream_options={"include_usage": True},
    )
    for chunk in stream:
        if chunk.choices:
            text += chunk.choices[0].delta.content or ""
        usage = chunk.usage or usage
    assert len(text) == 9 * usage.completion_tokens, (text, usage)
    print(f"ok: streamed chat of {usage.completion_tokens} tokens")

    def complete(**changes):
        arguments = {"model": model, "prompt": "x", "max_tokens": 5, **changes}
        return client.completions.create(**arguments)

    expect(openai.NotFoundError, lambda: complete(model="unknown"))
    expect(openai.BadRequestError, lambda: complete(max_tokens=0))
    expect(openai.BadRequestError, lambda: complete(n=2))
    expect(openai.BadRequestError, lambda: complete(extra_body={"prompt": {"a": 1}}))
    other = openai.OpenAI(base_url=base_url, api_key="wrong", max_retries=0)
    expect(openai.AuthenticationError, lambda: other.models.list())
    print("all checks passed")


main()
