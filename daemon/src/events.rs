//! Numbered events of the daemon's log. The daemon logs nothing else.
//!
//! One macro generates the enum, the catalogue and the log call, so they cannot disagree; a test
//! compares `docs/EVENTS.md` with the catalogue. A number is never reused for another event, since
//! operators' alarms depend on it.

use tracing::Level;

/// `tracing` target of every line, which tells the daemon's lines from those of libraries.
pub const LOG_TARGET: &str = "yuccalift";

/// Catalogue entry of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventSpec {
    /// Event number; the hundreds digit identifies the part of the daemon.
    pub number: u16,
    /// Event name in snake case, as logged.
    pub name: &'static str,
    /// Log level of the event.
    pub level: Level,
    /// Names of the event's fields, in the order in which they are logged.
    pub fields: &'static [&'static str],
    /// Description for operators, in one or two sentences.
    pub meaning: &'static str,
}

macro_rules! log_events {
    ($life:lifetime; $(
        #[doc = $meaning:literal]
        $number:literal $level:ident $name:literal $variant:ident { $($field:ident: $type:ty),* $(,)? }
    )+) => {
        /// A log event with its fields; times are in milliseconds.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub enum LogEvent<$life> {
            $(
                #[doc = $meaning]
                $variant {
                    $(
                        #[doc = concat!("The field `", stringify!($field), "`.")]
                        $field: $type,
                    )*
                },
            )+
        }

        /// All events, in ascending order of their numbers.
        pub const EVENTS: &[EventSpec] = &[
            $(EventSpec {
                number: $number,
                name: $name,
                level: Level::$level,
                fields: &[$(stringify!($field)),*],
                meaning: $meaning,
            },)+
        ];

        impl LogEvent<'_> {
            /// Logs the event if its level is enabled.
            pub fn emit(&self) {
                match *self {
                    $(Self::$variant { $($field),* } => tracing::event!(
                        target: LOG_TARGET,
                        Level::$level,
                        number = $number,
                        event = $name,
                        $($field = $field),*
                    ),)+
                }
            }
        }
    };
}

log_events! { 'a;
    #[doc = "The listeners accept connections; the daemon is not ready before event 201."]
    101 INFO "daemon_started" DaemonStarted {
        host: &'a str, data_centre: &'a str, incarnation: u64, callers: &'a str, peers: &'a str,
        operators: &'a str,
    }
    #[doc = "A graceful stop began."]
    102 INFO "stop_started" StopStarted { host: &'a str, limit_ms: u64 }
    #[doc = "The daemon stopped; `overdue` names the services that did not end within the stop timeout."]
    103 INFO "daemon_stopped" DaemonStopped { host: &'a str, overdue: &'a str }
    #[doc = "The process was paused; observations that expire with age were dropped."]
    104 WARN "process_paused" ProcessPaused { pause_ms: u64 }
    #[doc = "The data-path thread was not scheduled for a while; old observations of targets are dropped."]
    105 WARN "lane_paused" LanePaused { gap_ms: u64 }
    #[doc = "A configuration version took effect; `era` counts the restorations of the platform, within which versions increase, `source` is the platform or the peer that it came from, `bytes` the text that was transferred."]
    201 INFO "configuration_in_force" ConfigurationInForce { era: u64, version: u64, source: &'a str, bytes: u64 }
    #[doc = "A published value was refused; the last valid one stays in effect."]
    202 WARN "value_refused" ValueRefused { key: &'a str, version: u64, fault: &'a str }
    #[doc = "The platform could not be read; the current configuration stays in effect."]
    203 WARN "platform_unread" PlatformUnread { fault: &'a str }
    #[doc = "The platform offered an earlier era, or an older version of the same era, than the known one; it was ignored."]
    204 WARN "platform_stale" PlatformStale { offered: u64, offered_era: u64, known: u64, known_era: u64 }
    #[doc = "A peer has different values at the same version; each keeps its own until the key changes."]
    205 WARN "configuration_diverged" ConfigurationDiverged { peer: &'a str, version: u64 }
    #[doc = "This daemon started or stopped reading the platform for its data centre."]
    206 INFO "reader_changed" ReaderChanged { reads: bool }
    #[doc = "No reader's answer from the platform became known for `age_ms`; the last known values stay in effect."]
    207 WARN "knowledge_stale" KnowledgeStale { age_ms: u64 }
    #[doc = "A reader's answer from the platform became known again, after `age_ms`."]
    208 INFO "knowledge_fresh" KnowledgeFresh { age_ms: u64 }
    #[doc = "The platform was restored from an older copy; its values replace those that were known up to `former_version`, whose numbers it assigns again."]
    209 WARN "history_restarted" HistoryRestarted { era: u64, version: u64, former_era: u64, former_version: u64 }
    #[doc = "A peer did not answer and is suspected."]
    301 INFO "peer_suspected" PeerSuspected { peer: &'a str }
    #[doc = "A suspected peer stayed silent and is considered gone."]
    302 INFO "peer_gone" PeerGone { peer: &'a str }
    #[doc = "This daemon was suspected and announced that it is alive."]
    303 INFO "suspicion_refuted" SuspicionRefuted { host: &'a str }
    #[doc = "A later process runs on this host; this one stops."]
    304 WARN "daemon_replaced" DaemonReplaced { host: &'a str }
    #[doc = "An exchange with a peer failed after `took_ms`; `sent_bytes` is the configuration text that it carried."]
    305 INFO "exchange_failed" ExchangeFailed { fault: &'a str, sent_bytes: u64, took_ms: u64 }
    #[doc = "A query was admitted and its shard requests were planned on one snapshot."]
    401 INFO "query_planned" QueryPlanned {
        query: u64, epoch: u64, version: u64, shards: u32, waited_ms: u64,
    }
    #[doc = "A query waits for capacity."]
    402 INFO "query_queued" QueryQueued { query: u64, waiting: u32 }
    #[doc = "A query was restarted as a whole, on another snapshot."]
    403 INFO "query_restarted" QueryRestarted { query: u64, epoch: u64, version: u64 }
    #[doc = "A shard request was hedged: another target was asked as well, since the first was slow."]
    404 INFO "shard_hedged" ShardHedged { query: u64, shard: u32, slow: u32, target: u32 }
    #[doc = "A shard request was retried after a failure."]
    405 INFO "shard_retried" ShardRetried { query: u64, shard: u32, target: u32 }
    #[doc = "A shard is missing from the answer."]
    406 WARN "shard_missed" ShardMissed { query: u64, shard: u32, reason: &'a str }
    #[doc = "A request was refused as a whole."]
    407 WARN "query_refused" QueryRefused {
        query: u64, code: &'a str, outcome: &'a str, step: &'a str, peer: &'a str,
    }
    #[doc = "A request was answered."]
    408 DEBUG "query_answered" QueryAnswered {
        query: u64, asked: u32, answered: u32, took_ms: u64,
    }
    #[doc = "A request with a ticket of this daemon arrived; `verdict` says how it is handled."]
    409 INFO "ticket_checked" TicketChecked { ticket: u64, request: &'a str, verdict: &'a str }
    #[doc = "A request was forwarded to the daemon that owns its ticket."]
    410 INFO "request_passed_on" RequestPassedOn { ticket: u64, request: &'a str, owner: &'a str }
    #[doc = "A slow or failing target was ejected and gets no requests for `period_ms`."]
    501 WARN "target_ejected" TargetEjected { target: u32, period_ms: u64 }
    #[doc = "An ejected target gets requests again."]
    502 INFO "target_readmitted" TargetReadmitted { target: u32 }
    #[doc = "The limit of concurrent requests to a target changed."]
    503 DEBUG "target_limit_changed" TargetLimitChanged { target: u32, limit: u32 }
    #[doc = "Silent connections to a target were retired; `answered` says whether the target answered on a new one."]
    504 WARN "connections_retired" ConnectionsRetired {
        target: &'a str, retired: u64, answered: bool,
    }
    #[doc = "A relay accepts callers; it is not ready before event 602."]
    601 INFO "relay_started" RelayStarted {
        host: &'a str, data_centre: &'a str, callers: &'a str, store: &'a str,
    }
    #[doc = "A version of the routes took effect; `revision` is the store's revision of that change."]
    602 INFO "routes_in_force" RoutesInForce {
        version: u64, routes: u64, services: u64, revision: u64,
    }
    #[doc = "A store entry cannot be decoded and defines nothing that can be used."]
    603 WARN "entry_refused" EntryRefused { key: &'a str, fault: &'a str }
    #[doc = "The store cannot be read; the last known values stay in effect."]
    604 WARN "store_lost" StoreLost { fault: &'a str }
    #[doc = "The store can be read again after `outage_ms`."]
    605 INFO "store_regained" StoreRegained { outage_ms: u64 }
    #[doc = "The state of a target changed: listed, unlisted, leaving, back or forgotten."]
    606 INFO "target_changed" TargetChanged { target: &'a str, state: &'a str }
    #[doc = "A target that failed attempts is suspended and gets no requests for `period_ms`."]
    607 INFO "target_suspended" TargetSuspended { target: &'a str, period_ms: u64 }
    #[doc = "A suspended target answered again."]
    608 INFO "target_resumed" TargetResumed { target: &'a str }
    #[doc = "A request was sent to another target as well, `after_ms` after it was first sent; `cause` is hedge or retry."]
    609 INFO "attempt_repeated" AttemptRepeated {
        request: &'a str, target: &'a str, cause: &'a str, after_ms: u64,
    }
    #[doc = "An attempt did not succeed; `outcome` says how it ended."]
    610 INFO "attempt_failed" AttemptFailed {
        request: &'a str, target: &'a str, outcome: &'a str, took_ms: u64,
    }
    #[doc = "A service is missing from an answer."]
    611 INFO "service_missed" ServiceMissed { request: &'a str, service: &'a str, reason: &'a str }
    #[doc = "A request ended; of the requests that succeeded in time, one in 16 is logged."]
    612 INFO "request_ended" RequestEnded {
        request: &'a str, route: &'a str, version: u64, status: u64, cause: &'a str, parts: u64,
        missing: u64, took_ms: u64,
    }
    #[doc = "A caller's connection ended before its answer; its attempts that can be repeated are cancelled."]
    613 INFO "caller_left" CallerLeft { request: &'a str }
    #[doc = "Lines about requests were omitted since the last such event, to bound the log; `lines` is their number."]
    614 WARN "lines_dropped" LinesDropped { lines: u64 }
    #[doc = "The settings were read again. With a `fault` the former settings stay in effect; otherwise `in_force` names the fields that changed at once, and `waiting` those that change at the next start."]
    615 INFO "settings_reloaded" SettingsReloaded {
        fault: &'a str,
        in_force: &'a str,
        waiting: &'a str,
    }
    #[doc = "A non-idempotent request was sent to a target, which has `time_left_ms` to run it."]
    616 INFO "order_sent" OrderSent { request: &'a str, target: &'a str, time_left_ms: u64 }
    #[doc = "The store was unreachable for its readers and is reachable again; targets missing from it may have expired meanwhile."]
    617 INFO "outage_ended" OutageEnded { host: &'a str }
    #[doc = "The state of several targets changed within 100 ms, as in event 606; `targets` are their names."]
    618 INFO "targets_changed" TargetsChanged { state: &'a str, count: u64, targets: &'a str }
    #[doc = "A request was sent to a second target of several services, since the first ones had not answered after up to `after_ms`."]
    619 INFO "legs_hedged" LegsHedged {
        request: &'a str, count: u64, targets: &'a str, after_ms: u64,
    }
    #[doc = "A target accepts only so many requests a minute from all daemons together; this daemon keeps to its part of them."]
    620 INFO "target_limited" TargetLimited { target: &'a str, rate_per_minute: u64 }
    #[doc = "A target names no limit of requests any more."]
    621 INFO "target_unlimited" TargetUnlimited { target: &'a str }
    #[doc = "Something that a target says of itself in an answer can't be read and is ignored."]
    622 WARN "report_refused" ReportRefused { target: &'a str, fault: &'a str }
    #[doc = "A target turned a request away and wants none for `pause_ms`; it gets none for that time, up to a minute."]
    623 INFO "target_paused" TargetPaused { target: &'a str, pause_ms: u64 }
    #[doc = "A target says in an answer that it is leaving; it gets no requests soon, listed or not."]
    624 INFO "target_leaving" TargetLeaving { target: &'a str }
    #[doc = "The store answers in another era: it was restored from an older copy, and assigns revisions again from `revision` on."]
    625 WARN "store_restored" StoreRestored { era: u64, former_era: u64, revision: u64 }
    #[doc = "No target can be reached: `failed` of them failed since one was last reached. Requests of callers are forwarded to peers until event 627."]
    626 WARN "targets_lost" TargetsLost { failed: u64 }
    #[doc = "A target can be reached again, after `outage_ms`; requests are sent to targets again."]
    627 INFO "targets_regained" TargetsRegained { outage_ms: u64 }
    #[doc = "A peer did not serve a forwarded request; `outcome` says how that ended. Another peer is asked, or the request ends."]
    628 INFO "forward_failed" ForwardFailed {
        request: &'a str, peer: &'a str, outcome: &'a str, took_ms: u64,
    }
    #[doc = "A data centre is evacuated; nothing is sent to its targets until event 632."]
    631 WARN "evacuation_started" EvacuationStarted { data_centre: &'a str }
    #[doc = "The evacuation of a data centre ended; its targets are used again."]
    632 INFO "evacuation_ended" EvacuationEnded { data_centre: &'a str }
    #[doc = "A target says, in its entry or an answer, that it is cold for `left_ms`; meanwhile it gets only this daemon's part of the published rate."]
    633 INFO "target_cold" TargetCold { target: &'a str, left_ms: u64 }
    #[doc = "A target says that it is no longer cold."]
    634 INFO "target_warm" TargetWarm { target: &'a str }
    #[doc = "The response times of a target don't confirm the load that it reports, which has less influence now."]
    641 INFO "target_load_doubted" TargetLoadDoubted { target: &'a str }
    #[doc = "The response times of a target confirm the load that it reports again."]
    642 INFO "target_load_believed" TargetLoadBelieved { target: &'a str }
    #[doc = "Requests of a route were refused before anything was sent, since the targets of `service` are slow or full; `requests` is their number since the last such line of the route, which has one a second at most. At a `pressure_percent` of 100 the latency aim is used up."]
    651 INFO "requests_shed" RequestsShed {
        route: &'a str, service: &'a str, requests: u64, pressure_percent: u64,
    }
    #[doc = "Connections that a listener had accepted were closed within a second: `memory` of them to stay within the memory limit, `connections` within the descriptors, `stalled` since a head or an answer made no progress."]
    661 WARN "connections_closed" ConnectionsClosed {
        memory: u64, connections: u64, stalled: u64, held_bytes: u64, open: u64,
    }
    #[doc = "The address for metrics can't be listened on; the relay runs without that listener."]
    662 WARN "metrics_unserved" MetricsUnserved { address: &'a str, fault: &'a str }
    #[doc = "A target was lost while it ran a request; `blame` is the request's share of the blame so far, in thousandths of a lost target."]
    701 INFO "request_suspected" RequestSuspected { fingerprint: &'a str, shard: u32, blame: u32 }
    #[doc = "A request is quarantined, since targets were lost whenever they ran it."]
    702 WARN "request_quarantined" RequestQuarantined { fingerprint: &'a str, left_ms: u64 }
    #[doc = "The quarantine of a request ended."]
    703 INFO "quarantine_ended" QuarantineEnded { fingerprint: &'a str }
    #[doc = "A listener refused a call before the handler ran."]
    801 WARN "call_refused" CallRefused { listener: &'a str, peer: &'a str, reason: &'a str }
    #[doc = "An operator requested a graceful stop."]
    802 INFO "drain_asked" DrainAsked { peer: &'a str }
}
