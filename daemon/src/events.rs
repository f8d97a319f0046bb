//! The numbered events of the daemon's log; nothing else is logged.
//!
//! One table makes the enum, its catalogue and the writing of a line, so that they cannot differ;
//! a test holds `docs/EVENTS.md` to the same table. Numbers are never used again for another event,
//! since operators' alarms rest on them.

use tracing::Level;

/// The target of every line, by which a subscriber can tell the daemon's lines from a library's.
pub const LOG_TARGET: &str = "yuccalift";

/// An event of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventSpec {
    /// Its number; the hundreds stand for the part of the daemon.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
    /// Its level.
    pub level: Level,
    /// The names of its fields.
    pub fields: &'static [&'static str],
    /// What it tells.
    pub meaning: &'static str,
}

macro_rules! log_events {
    ($life:lifetime; $(
        #[doc = $meaning:literal]
        $number:literal $level:ident $name:literal $variant:ident { $($field:ident: $type:ty),* $(,)? }
    )+) => {
        /// An event with what belongs to it; times are in milliseconds.
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

        /// The catalogue, in the order of the numbers.
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
            /// Writes the event's line, if its level is logged.
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
    #[doc = "The listeners accept; the daemon is not ready before 201."]
    101 INFO "daemon_started" DaemonStarted {
        host: &'a str, data_centre: &'a str, incarnation: u64, callers: &'a str, peers: &'a str,
        operators: &'a str,
    }
    #[doc = "A graceful stop began."]
    102 INFO "stop_started" StopStarted { host: &'a str, limit_ms: u64 }
    #[doc = "The daemon ended; `overdue` names the services that were not done in time."]
    103 INFO "daemon_stopped" DaemonStopped { host: &'a str, overdue: &'a str }
    #[doc = "The process was paused; beliefs with an age were dropped."]
    104 WARN "process_paused" ProcessPaused { pause_ms: u64 }
    #[doc = "The thread of the data path was not run for a while; old beliefs are dropped."]
    105 WARN "lane_paused" LanePaused { gap_ms: u64 }
    #[doc = "A configuration version is in force; `source` is the platform or the peer it came from."]
    201 INFO "configuration_in_force" ConfigurationInForce { version: u64, source: &'a str }
    #[doc = "A published value was refused; the last good one stays in force."]
    202 WARN "value_refused" ValueRefused { key: &'a str, version: u64, fault: &'a str }
    #[doc = "The platform could not be read; what is in force stays so."]
    203 WARN "platform_unread" PlatformUnread { fault: &'a str }
    #[doc = "The platform offered an older version than is known; it was passed over."]
    204 WARN "platform_stale" PlatformStale { offered: u64, known: u64 }
    #[doc = "A peer has other values at the same version; they are compared whole."]
    205 WARN "configuration_diverged" ConfigurationDiverged { peer: &'a str, version: u64 }
    #[doc = "This daemon began or ceased to read the platform for its data centre."]
    206 INFO "reader_changed" ReaderChanged { reads: bool }
    #[doc = "A peer did not answer and is suspected."]
    301 INFO "peer_suspected" PeerSuspected { peer: &'a str }
    #[doc = "A suspected peer stayed silent and is taken for gone."]
    302 INFO "peer_gone" PeerGone { peer: &'a str }
    #[doc = "This daemon was suspected and said that it is alive."]
    303 INFO "suspicion_refuted" SuspicionRefuted { host: &'a str }
    #[doc = "A later process runs on this host; this one stops."]
    304 WARN "daemon_replaced" DaemonReplaced { host: &'a str }
    #[doc = "An exchange with a peer failed."]
    305 DEBUG "exchange_failed" ExchangeFailed { fault: &'a str }
    #[doc = "A query was admitted and its shard requests were placed at one snapshot."]
    401 INFO "query_planned" QueryPlanned {
        query: u64, epoch: u64, version: u64, shards: u32, waited_ms: u64,
    }
    #[doc = "A query waits for capacity."]
    402 INFO "query_queued" QueryQueued { query: u64, waiting: u32 }
    #[doc = "A query began again whole, at another snapshot."]
    403 INFO "query_restarted" QueryRestarted { query: u64, epoch: u64, version: u64 }
    #[doc = "A shard was asked a second time beside a slow first request."]
    404 INFO "shard_hedged" ShardHedged { query: u64, shard: u32, slow: u32, target: u32 }
    #[doc = "A shard was asked again after a failed request."]
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
    #[doc = "A request came under a ticket of this daemon; `verdict` says what is done with it."]
    409 INFO "ticket_checked" TicketChecked { ticket: u64, request: &'a str, verdict: &'a str }
    #[doc = "A request was passed on to the daemon that owns its ticket."]
    410 INFO "request_passed_on" RequestPassedOn { ticket: u64, request: &'a str, owner: &'a str }
    #[doc = "A slow or failing target gets no work for a moment."]
    501 WARN "target_ejected" TargetEjected { target: u32, period_ms: u64 }
    #[doc = "An ejected target gets work again."]
    502 INFO "target_readmitted" TargetReadmitted { target: u32 }
    #[doc = "The limit of requests in flight to a target changed."]
    503 DEBUG "target_limit_changed" TargetLimitChanged { target: u32, limit: u32 }
    #[doc = "Connections to a target were silent; `answered` says if the target answers on others."]
    504 WARN "connections_retired" ConnectionsRetired {
        target: &'a str, retired: u64, answered: bool,
    }
    #[doc = "A relay accepts callers; it is not ready before 602."]
    601 INFO "relay_started" RelayStarted {
        host: &'a str, data_centre: &'a str, callers: &'a str, store: &'a str,
    }
    #[doc = "A version of the routes is in force; `revision` is the store's of its change."]
    602 INFO "routes_in_force" RoutesInForce {
        version: u64, routes: u64, services: u64, revision: u64,
    }
    #[doc = "An entry of the store can't be decoded and names nothing to use."]
    603 WARN "entry_refused" EntryRefused { key: &'a str, fault: &'a str }
    #[doc = "The store can't be read; what is known stays in force."]
    604 WARN "store_lost" StoreLost { fault: &'a str }
    #[doc = "The store can be read again after `outage_ms`."]
    605 INFO "store_regained" StoreRegained { outage_ms: u64 }
    #[doc = "A target is listed, doubtful, leaving, back or forgotten."]
    606 INFO "target_changed" TargetChanged { target: &'a str, state: &'a str }
    #[doc = "A target that broke attempts gets no work for a while."]
    607 INFO "target_suspended" TargetSuspended { target: &'a str, period_ms: u64 }
    #[doc = "A suspended target answered again."]
    608 INFO "target_resumed" TargetResumed { target: &'a str }
    #[doc = "A request was sent to another target as well, `after_ms` after its first send; `cause` is hedge or retry."]
    609 INFO "attempt_repeated" AttemptRepeated {
        request: &'a str, target: &'a str, cause: &'a str, after_ms: u64,
    }
    #[doc = "An attempt brought no success; `outcome` is what became of it."]
    610 INFO "attempt_failed" AttemptFailed {
        request: &'a str, target: &'a str, outcome: &'a str, took_ms: u64,
    }
    #[doc = "A service is left out of an answer."]
    611 INFO "service_missed" ServiceMissed { request: &'a str, service: &'a str, reason: &'a str }
    #[doc = "A request ended; of those that ended well and in time one in 16 is written."]
    612 INFO "request_ended" RequestEnded {
        request: &'a str, route: &'a str, version: u64, status: u64, cause: &'a str, parts: u64,
        missing: u64, took_ms: u64,
    }
    #[doc = "A caller's connection ended before its answer; what can be repeated is given up."]
    613 INFO "caller_left" CallerLeft { request: &'a str }
    #[doc = "So many lines about requests were left out in the last second, to bound the log."]
    614 WARN "lines_dropped" LinesDropped { lines: u64 }
    #[doc = "The settings were read again. With a `fault` the former ones stay; else `in_force` names the fields that changed at once, and `waiting` those that wait for the next start."]
    615 INFO "settings_reloaded" SettingsReloaded {
        fault: &'a str,
        in_force: &'a str,
        waiting: &'a str,
    }
    #[doc = "A request that must not run twice was sent to a target, which has `time_left_ms` for it."]
    616 INFO "order_sent" OrderSent { request: &'a str, target: &'a str, time_left_ms: u64 }
    #[doc = "The store was out of reach of its readers and is back; targets that it lacks may have lapsed meanwhile."]
    617 INFO "outage_ended" OutageEnded { host: &'a str }
    #[doc = "A target was lost while it ran a request; `blame` is its part of the blame so far, in thousandths of a target."]
    701 INFO "request_suspected" RequestSuspected { fingerprint: &'a str, shard: u32, blame: u32 }
    #[doc = "A request is held back, since targets were lost whenever they ran it."]
    702 WARN "request_quarantined" RequestQuarantined { fingerprint: &'a str, left_ms: u64 }
    #[doc = "A request is held back no longer."]
    703 INFO "quarantine_ended" QuarantineEnded { fingerprint: &'a str }
    #[doc = "A call to a listener was refused before it was read."]
    801 WARN "call_refused" CallRefused { listener: &'a str, peer: &'a str, reason: &'a str }
    #[doc = "An operator asked for a graceful stop."]
    802 INFO "drain_asked" DrainAsked { peer: &'a str }
}
