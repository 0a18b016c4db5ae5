/**
 * Timeline of one request from the logs of all routers: the earlier state changes that affected it,
 * followed by its own events in order of time. Pure.
 */
import type { LogLine } from './log-line.js';

/** Events that change a router's view of the configuration, the store or the group. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'configuration_in_force',
  'store_lost',
  'store_regained',
  'store_history_gone',
  'relay_lost',
  'relay_outdated',
  'engines_changed',
  'group_changed',
  'starting',
  'stopping',
]);
/** Events that change whether an engine receives requests. */
const ENGINE_EVENTS: ReadonlySet<string> = new Set([
  'engine_changed',
  'engine_replaced',
  'engine_reborn',
  'engine_leaving',
  'engine_backoff',
  'engine_limit',
  'engine_limit_lifted',
  'weights_ordered',
  'weights_order_abandoned',
  'weights_loaded',
]);
/** Events that explain why a request exceeded its tenant's quota, from any router. */
const TENANT_EVENTS: ReadonlySet<string> = new Set(['quota_watched', 'quota_accountant_silent']);
/** Event of a request that was rejected because of its tenant's quota. */
const DENIAL_EVENT = 'quota_denied';
/** Keys that the timeline omits or formats separately. */
const OMITTED_KEYS: ReadonlySet<string> = new Set(['time', 'level', 'node', 'event', 'request']);

const STATE_EVENT_KINDS = [STATE_EVENTS, ENGINE_EVENTS, TENANT_EVENTS];

/** Collects the timeline of a request from log lines in any order. */
export class RequestTimeline {
  private readonly lines: LogLine[] = [];
  private readonly stateChanges: LogLine[] = [];

  constructor(private readonly requestId: string) {}

  add(line: LogLine): void {
    if (line.fields.get('request') === this.requestId) this.lines.push(line);
    else if (STATE_EVENT_KINDS.some((events) => events.has(line.event)))
      this.stateChanges.push(line);
  }

  /** Formats the timeline, one line per event; empty if no line mentions the request. */
  format(): string[] {
    const requestLines = [...this.lines].sort(byTime);
    const [first] = requestLines;
    if (!first) return [];
    const startMs = first.timeMs ?? 0;
    const relevant = this.relevantStateChanges(requestLines);
    return [
      ...relevant.map((line) => `${describeAge(startMs, line)} ${describe(line)}`),
      ...requestLines.map((line) => `${describeOffset(startMs, line)} ${describe(line)}`),
    ];
  }

  /**
   * The last change of each kind before the request began, for its routers, its engines and, if it
   * was denied, its tenant.
   */
  private relevantStateChanges(requestLines: readonly LogLine[]): LogLine[] {
    const [first] = requestLines;
    const startMs = first?.timeMs ?? 0;
    const nodes = new Set(requestLines.map(({ node }) => node));
    const engines = new Set(requestLines.flatMap(({ fields }) => fields.get('engine') ?? []));
    const denials = requestLines.filter(({ event }) => event === DENIAL_EVENT);
    const tenants = new Set(denials.flatMap(({ fields }) => fields.get('tenant') ?? []));
    const last = new Map<string, LogLine>();
    for (const line of [...this.stateChanges].sort(byTime)) {
      if ((line.timeMs ?? 0) > startMs) continue;
      const subject = subjectOf(line);
      const involved = involvedSubjects(line, { nodes, engines, tenants });
      if (involved.has(subject)) last.set(`${line.event} ${subject}`, line);
    }
    return [...last.values()].sort(byTime);
  }
}

/** Routers, engines and tenants involved in a request. */
interface InvolvedSubjects {
  readonly nodes: ReadonlySet<string>;
  readonly engines: ReadonlySet<string>;
  readonly tenants: ReadonlySet<string>;
}

/** Router, engine or tenant that a state change applies to. */
function subjectOf({ event, fields, node }: LogLine): string {
  if (ENGINE_EVENTS.has(event)) return fields.get('engine') ?? '';
  if (TENANT_EVENTS.has(event)) return fields.get('tenant') ?? '';
  return node;
}

function involvedSubjects({ event }: LogLine, subjects: InvolvedSubjects): ReadonlySet<string> {
  if (ENGINE_EVENTS.has(event)) return subjects.engines;
  return TENANT_EVENTS.has(event) ? subjects.tenants : subjects.nodes;
}

function byTime(left: LogLine, right: LogLine): number {
  return (left.timeMs ?? 0) - (right.timeMs ?? 0);
}

function describeAge(startMs: number, line: LogLine): string {
  const agoMs = startMs - (line.timeMs ?? startMs);
  return `${`-${agoMs} ms`.padStart(12)} state   `;
}

function describeOffset(startMs: number, line: LogLine): string {
  const afterMs = (line.timeMs ?? startMs) - startMs;
  return `${`+${afterMs} ms`.padStart(12)} request `;
}

function describe({ node, event, fields }: LogLine): string {
  const pairs = [...fields].filter(([key]) => !OMITTED_KEYS.has(key));
  return [node, event, ...pairs.map(([key, value]) => `${key}=${value}`)].join(' ');
}
