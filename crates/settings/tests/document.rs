//! The keys of the settings document, the converted values, and the texts of errors.

use lupincrank_placement::{Class, IdempotencyScope, RetrySafety, Settings, Tenant};
use lupincrank_settings::{validate, DeploymentSettings};
use serde_json::{json, Value};
use std::time::Duration;

fn document() -> Value {
    json!({
        "Instances": 3,
        "Categories": [
            {"Name": "chat", "DeadlineNs": 4_000, "PromiseNs": 800, "Repeat": "by_key", "Group": "zone", "WindowNs": 500},
            {"Name": "sync", "DeadlineNs": 9_000, "PromiseNs": 900, "Repeat": "once"},
        ],
        "Tenants": [{"Name": "first"}, null],
        "FamilyInfo": {"Groups": true, "MessageAimNs": [250, null], "TenantQuotaConnections": [20.5, null]},
        "Limits": {
            "ConnectTimeoutNs": 70, "SendCap": 5, "MayProbe": true, "Peers": true,
            "MaxRetryAfterNs": 2_000, "RetryAfter": true,
        },
        "Obligations": {
            "AnswerSlackNs": 1, "AskWithinNs": 1, "DrainGraceNs": 11, "ColdNs": 12, "StartCapacity": 0.25,
            "FallMultiple": 3.5, "OverloadForNs": 13,
        },
        "RegistryMode": "subscribe",
        "Report": {"Fields": ["other", "x0"]},
        "Prices": {"Probe": 1.5},
        "Kinds": ["large"],
        "Localities": ["east", "west"],
    })
}

fn parse(document: &Value) -> DeploymentSettings {
    serde_json::from_value(document.clone()).unwrap()
}

#[test]
fn every_key_is_converted() {
    let settings = parse(&document()).placement_settings().unwrap();
    let expected = Settings {
        node_count: 3,
        classes: vec![
            Class {
                setup_objective: Duration::from_nanos(800),
                message_objective: Duration::from_nanos(250),
                retry_safety: RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::Zone,
                    window: Duration::from_nanos(500),
                },
            },
            Class {
                setup_objective: Duration::from_nanos(900),
                message_objective: Duration::ZERO,
                retry_safety: RetrySafety::NotIdempotent,
            },
        ],
        tenants: vec![
            Tenant {
                connection_quota: Some(20.5),
            },
            Tenant {
                connection_quota: None,
            },
        ],
        max_attempts: 5,
        gossip_allowed: true,
        health_checks_allowed: true,
        health_check_cost: 1.5,
        utilization_field: Some(1),
        requires_endpoint_watch: true,
        drain_grace: Duration::from_nanos(11),
        slow_start_duration: Duration::from_nanos(12),
        initial_capacity_ratio: 0.25,
        overload_factor: 3.5,
        overload_window: Duration::from_nanos(13),
        max_retry_after: Duration::from_micros(2),
    };
    assert_eq!(settings, expected);
}

#[test]
fn names_keep_the_order_of_the_document() {
    let settings = parse(&document());
    assert_eq!(settings.class_names(), ["chat", "sync"]);
    assert_eq!(settings.tenant_names(), ["first", ""]);
    assert_eq!(settings.report_fields(), ["other", "x0"]);
    assert_eq!(settings.machine_kinds(), ["large"]);
    assert_eq!(settings.zones(), ["east", "west"]);
    assert_eq!(settings.max_deadline(), Duration::from_micros(9));
    assert_eq!(settings.connect_timeout(), Some(Duration::from_nanos(70)));
    assert!(settings.has_groups());
}

#[test]
fn absent_values_have_defaults() {
    let settings = parse(&json!({"Categories": [{"Repeat": "repeatable"}]}));
    let placement = settings.placement_settings().unwrap();
    assert_eq!(placement.node_count, 1);
    assert_eq!(placement.max_attempts, u32::MAX);
    assert_eq!(placement.max_retry_after, Duration::ZERO);
    assert_eq!(placement.utilization_field, None);
    assert_eq!(placement.classes[0].retry_safety, RetrySafety::Idempotent);
    assert_eq!(settings.connect_timeout(), None);
    assert!(!settings.has_groups());
}

#[test]
fn each_idempotency_scope_is_known_by_its_name() {
    let scopes = [
        ("all", IdempotencyScope::All),
        ("zone", IdempotencyScope::Zone),
        ("cell", IdempotencyScope::Cell),
    ];
    for (name, scope) in scopes {
        let settings = parse(&json!({"Categories": [{"Repeat": "by_key", "Group": name}]}));
        let placement = settings.placement_settings().unwrap();
        let window = Duration::ZERO;
        assert_eq!(
            placement.classes[0].retry_safety,
            RetrySafety::IdempotencyKey { scope, window }
        );
    }
}

#[test]
fn an_unknown_value_is_named_with_its_place() {
    let error = |document: Value| {
        let settings = parse(&document);
        settings.placement_settings().unwrap_err().to_string()
    };
    assert_eq!(
        error(json!({"Categories": [{"Repeat": "once"}, {"Repeat": "twice"}]})),
        "Categories[1].Repeat: unknown value Some(\"twice\")"
    );
    assert_eq!(
        error(json!({"Categories": [{"Repeat": "by_key"}]})),
        "Categories[0].Group: unknown value None"
    );
}

#[test]
fn the_error_of_a_wrong_type_names_the_section_of_the_document() {
    let error = |document: Value| {
        let parsed: Result<DeploymentSettings, _> = serde_json::from_value(document);
        parsed.unwrap_err().to_string()
    };
    assert_eq!(
        error(json!({"Limits": 3})),
        "invalid type: integer `3`, expected struct Limits"
    );
    assert_eq!(
        error(json!("text")),
        "invalid type: string \"text\", expected struct Site"
    );
}

/// Applies a change to the document and validates the result as its replacement.
fn validate_changed(change: impl FnOnce(&mut Value)) -> Result<(), String> {
    let before = json!({"settings": document(), "limits": {"cores": 1}});
    let mut file = before.clone();
    change(&mut file);
    validate(&file, Some(&before)).map_err(|error| error.to_string())
}

#[test]
fn the_unchanged_document_is_valid() {
    assert_eq!(validate_changed(|_| ()), Ok(()));
}

/// A change that makes the document invalid, and the expected error.
struct Fault {
    introduce: fn(&mut Value),
    message: &'static str,
}

#[test]
fn each_fault_is_named_with_its_path() {
    let cases: [Fault; 7] = [
        Fault {
            introduce: |file| file["settings"]["Limits"]["RetryAfter"] = Value::Null,
            message: "settings.Limits.RetryAfter is missing",
        },
        Fault {
            introduce: |file| file["settings"]["Limits"]["SendCap"] = json!(0),
            message: "settings.Limits.SendCap: 0 is not a whole number from 1 to 1000000",
        },
        Fault {
            introduce: |file| file["settings"]["Categories"] = json!([]),
            message: "settings.Categories contains no class",
        },
        Fault {
            introduce: |file| file["settings"]["Categories"][0]["WindowNs"] = Value::Null,
            message: "settings.Categories[0].WindowNs is missing",
        },
        Fault {
            introduce: |file| file["settings"]["Categories"][1]["Name"] = json!(""),
            message: "settings.Categories[1].Name is empty or not a string",
        },
        Fault {
            introduce: |file| file["settings"]["Categories"][1]["Name"] = json!("chat"),
            message: "settings.Categories[1].Name: duplicate class name \"chat\"",
        },
        Fault {
            introduce: |file| file["limits"] = json!({}),
            message: "limits.cores is missing, but the file in use has it",
        },
    ];
    for Fault { introduce, message } in cases {
        assert_eq!(validate_changed(introduce), Err(message.to_string()));
    }
}
