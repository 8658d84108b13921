//! The keys of the settings document, the converted values, and the texts of errors.

use lupincrank_placement::{Class, IdempotencyScope, RetrySafety, Settings, Tenant};
use lupincrank_settings::{summarize_known_hosts, validate, DeploymentSettings};
use rstest::rstest;
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

/// A file with two complete classes and two complete tenants.
fn complete_file() -> Value {
    let class = |name: &str| {
        json!({
            "Name": name, "DeadlineNs": 4_000, "PromiseNs": 800, "Repeat": "repeatable", "Group": "all",
            "WindowNs": 500, "Stream": true, "Value": 1.0, "LateShare": 0.0, "AimStretch": 2.0,
        })
    };
    let host = |name: &str| {
        json!({
            "host": name, "dial": "127.0.0.1:1", "site": "east", "class": "large", "block": 0,
            "health": "SERVING", "share": 1.0, "born_ms": 0,
        })
    };
    let mut settings = document();
    settings["Categories"] = json!([class("chat"), class("sync")]);
    settings["Tenants"] =
        json!([{"Name": "first", "Share": 0.6}, {"Name": "second", "Share": 0.4}]);
    settings["FamilyInfo"]["MessageAimNs"] = json!([250, 150]);
    settings["FamilyInfo"]["TenantQuotaConnections"] = json!([20.5, 10.5]);
    json!({
        "known": {"seq": 1, "whole": true, "hosts": [host("s-0"), host("s-1")]},
        "settings": settings,
    })
}

/// The file with `change` applied to its settings.
fn changed(file: &Value, change: impl FnOnce(&mut Value)) -> Value {
    let mut file = file.clone();
    change(&mut file["settings"]);
    file
}

fn replace(previous: &Value, file: &Value) -> Result<(), String> {
    let mut previous = previous.clone();
    summarize_known_hosts(&mut previous);
    validate(file, Some(&previous)).map_err(|error| error.to_string())
}

fn remove_key(entry: &mut Value, key: &str) {
    entry.as_object_mut().unwrap().remove(key).unwrap();
}

fn pop(list: &mut Value) {
    list.as_array_mut().unwrap().pop().unwrap();
}

fn reverse(list: &mut Value) {
    list.as_array_mut().unwrap().reverse();
}

/// Adds a class with an objective; returns the class.
fn add_class(settings: &mut Value) -> &mut Value {
    let mut class = settings["Categories"][0].clone();
    class["Name"] = json!("notes");
    let objectives = &mut settings["FamilyInfo"]["MessageAimNs"];
    objectives.as_array_mut().unwrap().push(json!(100));
    let classes = settings["Categories"].as_array_mut().unwrap();
    classes.push(class);
    classes.last_mut().unwrap()
}

/// A file was applied in which an entry of a list lacks a key: in a class of the file in use, wherever it stands, and in
/// one that is new or renamed.
#[rstest]
fn a_class_that_lacks_a_key_is_invalid(
    #[values(
        "Name",
        "DeadlineNs",
        "PromiseNs",
        "Repeat",
        "Group",
        "WindowNs",
        "Stream",
        "Value",
        "LateShare"
    )]
    key: &str,
) {
    let file = complete_file();
    let changes: [&dyn Fn(&mut Value); 5] = [
        &|settings| remove_key(&mut settings["Categories"][1], key),
        &|settings| settings["Categories"][1][key] = Value::Null,
        &|settings| remove_key(add_class(settings), key),
        &|settings| {
            settings["Categories"][1]["Name"] = json!("renamed");
            remove_key(&mut settings["Categories"][1], key);
        },
        &|settings| {
            reverse(&mut settings["Categories"]);
            remove_key(&mut settings["Categories"][0], key);
        },
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let error = replace(&file, &changed(&file, change)).unwrap_err();
        assert!(
            error.contains(&format!(".{key} is missing")),
            "{index}: {error}"
        );
    }
}

/// A file was applied whose lists lack values of tenants, objectives, quotas or known hosts.
#[rstest]
#[case::tenant_name(|file: &mut Value| remove_key(&mut file["settings"]["Tenants"][1], "Name"),
    "settings.Tenants[1].Name is missing")]
#[case::tenant_share(|file: &mut Value| remove_key(&mut file["settings"]["Tenants"][1], "Share"),
    "settings.Tenants[1].Share is missing, but the file in use has it")]
#[case::tenant_quota(|file: &mut Value| pop(&mut file["settings"]["FamilyInfo"]["TenantQuotaConnections"]),
    "settings.FamilyInfo.TenantQuotaConnections[1] is missing, but the file in use has it")]
#[case::objective(|file: &mut Value| pop(&mut file["settings"]["FamilyInfo"]["MessageAimNs"]),
    "settings.FamilyInfo.MessageAimNs[1] is missing, but the file in use has it")]
#[case::null_objective(|file: &mut Value| file["settings"]["FamilyInfo"]["MessageAimNs"][0] = Value::Null,
    "settings.FamilyInfo.MessageAimNs[0] is missing, but the file in use has it")]
#[case::objective_of_a_new_class(|file: &mut Value| {
        add_class(&mut file["settings"]);
        pop(&mut file["settings"]["FamilyInfo"]["MessageAimNs"]);
    }, "settings.FamilyInfo.MessageAimNs[2] is missing")]
#[case::host_weight(|file: &mut Value| remove_key(&mut file["known"]["hosts"][1], "share"),
    "known.hosts[1].share is missing, but the file in use has it")]
#[case::null_section(|file: &mut Value| file["settings"]["Tenants"] = Value::Null,
    "settings.Tenants is missing, but the file in use has it")]
#[case::section_of_another_type(|file: &mut Value| file["settings"]["Prices"] = json!(1),
    "settings.Prices.Probe is missing, but the file in use has it")]
fn a_list_that_lacks_a_value_is_invalid(#[case] change: fn(&mut Value), #[case] expected: &str) {
    let previous = complete_file();
    let mut file = previous.clone();
    change(&mut file);
    assert_eq!(replace(&previous, &file), Err(expected.to_string()));
}

#[test]
fn the_first_tenants_need_a_name_and_a_share() {
    let previous = changed(&complete_file(), |settings| {
        settings["Tenants"] = json!([]);
        settings["FamilyInfo"]["TenantQuotaConnections"] = json!([]);
    });
    let with_tenants =
        |tenants: Value| changed(&previous, |settings| settings["Tenants"] = tenants);
    let complete = with_tenants(json!([{"Name": "first", "Share": 1.0}]));
    assert_eq!(replace(&previous, &complete), Ok(()));
    let incomplete = with_tenants(json!([{"Name": "first"}]));
    assert_eq!(
        replace(&previous, &incomplete),
        Err("settings.Tenants[0].Share is missing".to_string())
    );
}

/// A sound file must be applied, whatever its lists change.
#[rstest]
#[case::unchanged(|_: &mut Value| ())]
#[case::class_added(|settings: &mut Value| { add_class(settings); })]
#[case::class_renamed(|settings: &mut Value| settings["Categories"][0]["Name"] = json!("renamed"))]
#[case::classes_reversed(|settings: &mut Value| {
    reverse(&mut settings["Categories"]);
    reverse(&mut settings["FamilyInfo"]["MessageAimNs"]);
})]
#[case::class_dropped(|settings: &mut Value| {
    pop(&mut settings["Categories"]);
    pop(&mut settings["FamilyInfo"]["MessageAimNs"]);
})]
#[case::optional_key_dropped(|settings: &mut Value| remove_key(&mut settings["Categories"][0], "AimStretch"))]
#[case::new_class_without_optional_key(|settings: &mut Value| remove_key(add_class(settings), "AimStretch"))]
#[case::tenants_dropped(|settings: &mut Value| {
    settings["Tenants"] = json!([]);
    settings["FamilyInfo"]["TenantQuotaConnections"] = json!([]);
})]
fn a_file_whose_lists_are_complete_is_valid(#[case] change: fn(&mut Value)) {
    let previous = complete_file();
    let file = changed(&previous, change);
    assert_eq!(replace(&previous, &file), Ok(()));
}

/// A start accepts a file that lacks keys of a class, so the same file must be accepted at a reload.
#[test]
fn a_class_may_lack_a_key_that_the_file_in_use_lacks_there_too() {
    let previous = changed(&complete_file(), |settings| {
        remove_key(&mut settings["Categories"][1], "Stream");
    });
    assert_eq!(replace(&previous, &previous), Ok(()));
    let with_second_gap = changed(&previous, |settings| {
        remove_key(&mut settings["Categories"][0], "Stream");
    });
    assert!(replace(&previous, &with_second_gap).is_err());
    let file = json!({"settings": previous["settings"]});
    assert!(validate(&file, None).is_ok(), "a file that replaces none");
}
