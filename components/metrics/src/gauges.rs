//! Gauges of a host report. They are created for each scrape, so that objects that are no longer
//! in the report are not in the scrape either.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use crate::{
    label::{GroupLabels, Label, ServerLabels},
    metrics::PREFIX,
    report::{GroupReport, HostReport, ServerReport},
};

type FloatGauge = Gauge<f64, AtomicU64>;

/// Creates a registry with the gauges of a report.
pub fn registry(report: &HostReport) -> Registry {
    let mut registry = Registry::with_prefix(PREFIX);
    let r = &mut registry;
    register_gauge(r, "revision", "Revision in force here", report.revision.0);
    register_gauge(r, "acts", "Whether this host may serve: 1 or 0", u64::from(report.acts));
    register_gauge(
        r,
        "draining",
        "Whether this host is stopping: 1 or 0",
        u64::from(report.draining),
    );
    register_gauge(
        r,
        "platform_calls",
        "Calls of the platform since the start",
        report.platform_calls,
    );
    if let Some(fresh) = report.fresh {
        let gauge = FloatGauge::default();
        gauge.set(fresh.as_secs_f64());
        let help = "Time since the revision was last shown to be the newest";
        r.register_with_unit("fresh_age", help, Unit::Seconds, gauge);
    }
    groups(r, &report.groups);
    servers(r, &report.groups);
    registry
}

/// Registers a gauge without labels.
fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge = FloatGauge::default();
    gauge.set(value as f64);
    registry.register(name, help, gauge);
}

/// Registers a family of gauges with labels.
fn register_family<L>(registry: &mut Registry, name: &str, help: &str) -> Family<L, FloatGauge>
where
    L: Clone + EncodeLabelSet + Eq + std::fmt::Debug + std::hash::Hash + Send + Sync + 'static,
{
    let family = Family::<L, FloatGauge>::default();
    registry.register(name, help, family.clone());
    family
}

fn groups(r: &mut Registry, groups: &[GroupReport]) {
    let term = register_family(r, "group_term", "Greatest term seen");
    let primary = register_family(r, "group_primary", "Whether a primary is known: 1 or 0");
    let queue = register_family(r, "group_queue", "Requests that wait for a slot");
    for report in groups {
        let labels = GroupLabels::new(&report.group);
        term.get_or_create(&labels).set(report.term.0 as f64);
        primary.get_or_create(&labels).set(f64::from(u8::from(report.primary.is_some())));
        queue.get_or_create(&labels).set(report.queue as f64);
    }
}

fn servers(r: &mut Registry, groups: &[GroupReport]) {
    let up = register_family(r, "server_up", "Whether the server answers: 1 or 0");
    let position = register_family(r, "server_position", "Last position that its reads show");
    let contact_age =
        register_family(r, "server_heard_age_seconds", "Time since it was last heard of");
    let busy = register_family(r, "server_slots_in_use", "Statements that it runs for this home");
    let slots = register_family(r, "server_slots", "Statements that it may run at once");
    let connections = register_family(r, "server_connections", "Connections of this home to it");
    let leaving = register_family(r, "server_leaving", "Whether it gets no new work: 1 or 0");
    let all = groups.iter().flat_map(|group| group.servers.iter().map(move |s| (group, s)));
    for (group, report) in all {
        let labels = labels(group, report);
        let set = |family: &Family<ServerLabels, FloatGauge>, value: f64| {
            family.get_or_create(&labels).set(value);
        };
        set(&up, f64::from(u8::from(report.role.is_some())));
        set(&position, report.applied.position.0 as f64);
        set(&busy, report.busy as f64);
        set(&slots, report.slots as f64);
        set(&connections, report.connections as f64);
        set(&leaving, f64::from(u8::from(report.leaving)));
        if let Some(age) = report.heard {
            set(&contact_age, age.as_secs_f64());
        }
    }
}

fn labels(group: &GroupReport, server: &ServerReport) -> ServerLabels {
    ServerLabels { group: Label::new(&group.group), server: Label::new(&server.server) }
}
