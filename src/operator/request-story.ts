/**
 * What became of one request, from the logs of all machines: its own lines in order, and before them the
 * beliefs that decided it, as the router that wrote a line had formed them. Pure.
 */
import type { LogLine } from './log-line.js';

/** Events by which a router changes what it believes of the configuration, the store or the group. */
const BELIEF_EVENTS: ReadonlySet<string> = new Set([
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
/** Events about one engine that change whether it is given work. */
const ENGINE_EVENTS: ReadonlySet<string> = new Set([
  'engine_changed',
  'engine_replaced',
  'engine_reborn',
  'engine_leaving',
  'engine_backoff',
  'engine_limit',
  'engine_limit_lifted',
  'weights_ordered',
  'weights_loaded',
]);
/** Events about a tenant's limit; they explain why it was denied, whichever router wrote them. */
const TENANT_EVENTS: ReadonlySet<string> = new Set(['quota_watched', 'quota_accountant_silent']);
/** The line of a request that its tenant's limit turned away. */
const DENIAL_EVENT = 'quota_denied';
/** Pairs that a line of the story shows by other means. */
const SHOWN_APART: ReadonlySet<string> = new Set(['time', 'level', 'node', 'event', 'request']);

const BELIEF_KINDS = [BELIEF_EVENTS, ENGINE_EVENTS, TENANT_EVENTS];

/** Gathers the story while the logs are read. */
export class RequestStory {
  private readonly lines: LogLine[] = [];
  private readonly beliefs: LogLine[] = [];

  constructor(private readonly requestId: string) {}

  add(line: LogLine): void {
    if (line.fields.get('request') === this.requestId) this.lines.push(line);
    else if (BELIEF_KINDS.some((events) => events.has(line.event))) this.beliefs.push(line);
  }

  /** The story, a line each; empty where no log speaks of the request. */
  format(): string[] {
    const own = [...this.lines].sort(byTime);
    const [first] = own;
    if (!first) return [];
    const beginsMs = first.timeMs ?? 0;
    const deciding = this.decidingBeliefs(own);
    return [
      ...deciding.map((line) => `${describeAge(beginsMs, line)} ${describe(line)}`),
      ...own.map((line) => `${describeOffset(beginsMs, line)} ${describe(line)}`),
    ];
  }

  /** The last of each belief before the request began: of its routers, about its engines, about its tenant's limit. */
  private decidingBeliefs(own: readonly LogLine[]): LogLine[] {
    const [first] = own;
    const beginsMs = first?.timeMs ?? 0;
    const nodes = new Set(own.map(({ node }) => node));
    const engines = new Set(own.flatMap(({ fields }) => fields.get('engine') ?? []));
    const denials = own.filter(({ event }) => event === DENIAL_EVENT);
    const tenants = new Set(denials.flatMap(({ fields }) => fields.get('tenant') ?? []));
    const last = new Map<string, LogLine>();
    for (const line of [...this.beliefs].sort(byTime)) {
      if ((line.timeMs ?? 0) > beginsMs) continue;
      const subject = subjectOf(line);
      const concerned = concernedBy(line, { nodes, engines, tenants });
      if (concerned.has(subject)) last.set(`${line.event} ${subject}`, line);
    }
    return [...last.values()].sort(byTime);
  }
}

/** What a request has to do with. */
interface Concerns {
  readonly nodes: ReadonlySet<string>;
  readonly engines: ReadonlySet<string>;
  readonly tenants: ReadonlySet<string>;
}

/** Router, engine or tenant that a belief is about. */
function subjectOf({ event, fields, node }: LogLine): string {
  if (ENGINE_EVENTS.has(event)) return fields.get('engine') ?? '';
  if (TENANT_EVENTS.has(event)) return fields.get('tenant') ?? '';
  return node;
}

function concernedBy({ event }: LogLine, concerns: Concerns): ReadonlySet<string> {
  if (ENGINE_EVENTS.has(event)) return concerns.engines;
  return TENANT_EVENTS.has(event) ? concerns.tenants : concerns.nodes;
}

function byTime(left: LogLine, right: LogLine): number {
  return (left.timeMs ?? 0) - (right.timeMs ?? 0);
}

function describeAge(beginsMs: number, line: LogLine): string {
  const agoMs = beginsMs - (line.timeMs ?? beginsMs);
  return `${`-${agoMs} ms`.padStart(12)} believed`;
}

function describeOffset(beginsMs: number, line: LogLine): string {
  const afterMs = (line.timeMs ?? beginsMs) - beginsMs;
  return `${`+${afterMs} ms`.padStart(12)} request `;
}

function describe({ node, event, fields }: LogLine): string {
  const pairs = [...fields].filter(([key]) => !SHOWN_APART.has(key));
  return [node, event, ...pairs.map(([key, value]) => `${key}=${value}`)].join(' ');
}
