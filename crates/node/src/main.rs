//! The program `lupincrank`.

fn main() -> std::process::ExitCode {
    lupincrank_node::main()
}
