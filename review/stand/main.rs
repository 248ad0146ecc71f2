//! The scripts of the review's cases. `case NAME FOLDER` runs one from the root of the repository, writes `record.txt`
//! into FOLDER and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod bed;
mod big_bodies;
mod crash_parts;
mod crash_trials;
mod joined_versions;
mod lapsed_entry;
mod odd_entries;
mod silent_store;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        println!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    bed::limit_time(115);
    let is_broken = match &*name {
        "joined_versions" => joined_versions::run(&folder),
        "lapsed_entry" => lapsed_entry::run(&folder),
        "odd_entries" => odd_entries::run(&folder),
        "silent_store" => silent_store::run(&folder),
        "big_bodies" => big_bodies::run(&folder),
        "crash_parts" => crash_parts::run(&folder),
        "crash_trials" => crash_trials::run(&folder),
        _ => {
            println!("no case {name}");
            std::process::exit(2);
        }
    };
    bed::end(i32::from(is_broken))
}
