/** What operators should alarm on; printed in the metrics reference. */

/** One alarm. */
export interface MetricAlarm {
  /** In PromQL; a test checks that its metrics exist. */
  readonly expression: string;
  readonly meaning: string;
  /** Heading in docs/operators/runbooks.md. */
  readonly runbook: string;
}

export const METRIC_ALARMS: readonly MetricAlarm[] = [
  {
    expression: 'min(driftway_quorum_age_seconds) > 10',
    meaning: 'No controller hears a quorum: nothing can be changed, routers become stale.',
    runbook: 'No quorum',
  },
  {
    expression: 'driftway_quorum_age_seconds > 60',
    meaning: 'This controller is cut off, or the rest of the group is.',
    runbook: 'A controller is cut off in silence',
  },
  {
    expression: 'sum(increase(driftway_consensus_leaderships_won_total[10m])) > 3',
    meaning: 'Leadership moves again and again: slow disks or an unsteady network.',
    runbook: 'Leadership keeps moving',
  },
  {
    expression:
      'max(driftway_configuration_revision) - min(driftway_configuration_revision) > 0 for 30s',
    meaning: 'A controller or router lacks an accepted change.',
    runbook: 'A change is not in force everywhere',
  },
  {
    expression: 'max by (state) (driftway_daemons{state=~"late|silent"}) > 0 for 30s',
    meaning: 'A daemon has not put the newest revision in force, or is silent.',
    runbook: 'A change is not in force everywhere',
  },
  {
    expression: 'max(driftway_controller_routes_lacking_seconds) > 5',
    meaning: 'A gateway has not put an accepted route document in force.',
    runbook: 'A gateway lacks the newest routes',
  },
  {
    expression: 'max(driftway_controller_quota_owner) < 1 for 10s',
    meaning:
      'No controller grants tokens: nearly all requests of tenants with a limit are refused.',
    runbook: 'A tenant complains of 429',
  },
  {
    expression: 'driftway_configuration_fresh == 0',
    meaning: 'This router cannot prove its settings fresh; staleSettings decides what it does.',
    runbook: 'A router has stale settings',
  },
  {
    expression: 'rate(driftway_router_refusals_total[1m]) > 0',
    meaning: 'Callers are refused before anything is sent; the label says why.',
    runbook: 'Queries are refused',
  },
  {
    expression: 'rate(driftway_router_dropped_replies_total[5m]) > 0',
    meaning: 'A back end answers with what was not asked for; such replies are not used.',
    runbook: 'Replies are dropped',
  },
  {
    expression: 'rate(driftway_message_connections_refused_total[5m]) > 0',
    meaning: 'A process with another cluster id, key or version, or a stranger, dials in.',
    runbook: 'Connections are refused',
  },
  {
    expression: 'rate(driftway_platform_list_polls_total{outcome!="read"}[5m]) > 0',
    meaning: 'The list of machines cannot be read; drains are then seen by routers alone.',
    runbook: "The platform's list cannot be read",
  },
  {
    expression: 'rate(driftway_administration_requests_total{result="internal"}[5m]) > 0',
    meaning: 'A fault in the administration API; the log has the first reason.',
    runbook: 'The administration API fails',
  },
];
