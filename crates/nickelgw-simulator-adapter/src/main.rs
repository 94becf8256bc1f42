//! Connects the decision module to the simulator over standard input and output: lines of JSON become events
//! of the decision module, and its decisions become lines of JSON.

mod actions;
mod node;
mod session;

use std::io;

fn main() {
    if let Err(error) = session::run(io::stdin().lock(), io::stdout().lock()) {
        eprintln!("nickelgw-simulator-adapter: {error}");
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
