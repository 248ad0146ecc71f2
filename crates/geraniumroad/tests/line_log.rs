//! Guards against log lines whose size callers choose, which would fill the memory while the writer waits.

use geraniumroad::bounded_line;

#[test]
fn a_line_that_is_too_large_is_cut_at_a_character() {
    let long = format!("request: id={} status=503", "\u{e9}".repeat(8 * 1024));
    let line = bounded_line(long);
    assert!(line.len() <= 2 * 1024, "{} bytes", line.len());
    assert!(line.starts_with("request: id=\u{e9}") && line.ends_with(" (cut)"));
}

#[test]
fn other_lines_stay_as_they_are() {
    for size in [0, 1, 2 * 1024] {
        let line = "x".repeat(size);
        assert_eq!(bounded_line(line.clone()), line);
    }
}
