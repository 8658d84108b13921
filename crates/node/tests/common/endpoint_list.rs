//! Endpoint lists as the discovery service writes them.

use std::net::SocketAddr;

/// A list of these servers with the same health. They are named `s-0`, `s-1` and so on.
pub fn endpoint_list(
    addresses: &[SocketAddr],
    health: &str,
    seq: u64,
    is_complete: bool,
) -> String {
    let entry = |(index, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"host":"s-{index}","dial":"{address}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let entries: Vec<String> = addresses.iter().enumerate().map(entry).collect();
    format!(
        r#"{{"seq":{seq},"whole":{is_complete},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

/// A list of the first servers, one for each of these health values.
pub fn endpoint_list_json(
    addresses: &[SocketAddr],
    health: &[&str],
    seq: u64,
    is_complete: bool,
) -> serde_json::Value {
    let entry = |(index, health): (usize, &&str)| {
        serde_json::json!({"host": format!("s-{index}"), "dial": addresses[index].to_string(), "site": "a", "class": "m",
            "block": 0, "health": health, "share": 1.0, "born_ms": 0})
    };
    let entries: Vec<_> = health.iter().enumerate().map(entry).collect();
    serde_json::json!({"seq": seq, "whole": is_complete, "hosts": entries})
}
