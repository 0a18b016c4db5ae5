/** Splits the processor time of this process by router mechanism, using the V8 profiler. */
import type { Profiler, Runtime } from 'node:inspector';
import { Session } from 'node:inspector/promises';

/** Mechanisms and their modules; the first match applies. */
const MECHANISMS: readonly (readonly [name: string, modules: RegExp])[] = [
  ['simulation', /\/(lab|bench|test)\/|virtual-clock/],
  ['crash notices', /crash-|quarantine|request-fingerprint|engine-crashes/],
  ['work collection', /load-collection|collected-loads|collector-choice/],
  ['quotas', /\/quota\//],
  [
    'weights and lease',
    /weight-(?!load-announcements)|load-command|coordinator-succession|lease|rollout/,
  ],
  [
    'store and relays',
    /store-|object-follower|\/store-relay\/|object-decoder|configuration|engine-list/,
  ],
  ['feeds', /cache-feeds|followed-feeds|feed-share/],
  [
    'placement',
    /placement|home-ranking|cached-prefixes|save-choice|finish-estimate|prompt-source|engine-health|engine-registry|retry-schedule|traffic-split/,
  ],
  [
    'forwarding',
    /request-call|\/send\.|call-|send-timeouts|send-load|request-admission|rejection|retry-budget|event-boundary|gateway\/load(?!-codec)/,
  ],
  [
    'reports',
    /group-reports|group-heartbeats|heartbeats|weight-load-announcements|load-codec|member-key|load-table/,
  ],
  ['datagram codec', /cluster-codec|member-codec/],
  ['gossip', /\/membership\.|group-membership|group-change-log/],
  ['directory', /directory/],
  ['other', /\/src\//],
];

/** Functions that build a list of members; counted together, regardless of the caller. */
const MEMBER_LISTS = new Set([
  'all',
  'working',
  'get working',
  'isWorking',
  'responding',
  'get responding',
  'reachable',
  'get reachable',
  'membersByZone',
  'byCapacity',
]);
const MICROSECONDS_PER_MS = 1_000;
const SAMPLE_MICROSECONDS = 250;

/** Processor time per mechanism, in milliseconds. */
export type MechanismTimes = ReadonlyMap<string, number>;

/**
 * Runs an action under the profiler. The samples cover elapsed time; they are scaled to the
 * processor time of this process, which reduces the influence of other processes on the machine.
 */
export async function profileMechanisms(action: () => Promise<void>): Promise<MechanismTimes> {
  const session = new Session();
  session.connect();
  await session.post('Profiler.enable');
  await session.post('Profiler.setSamplingInterval', { interval: SAMPLE_MICROSECONDS });
  await session.post('Profiler.start');
  const cpuBefore = process.cpuUsage();
  await action();
  const { user, system } = process.cpuUsage(cpuBefore);
  const { profile } = await session.post('Profiler.stop');
  session.disconnect();
  return scaleTo(sumByMechanism(profile), (user + system) / MICROSECONDS_PER_MS);
}

function sumByMechanism(profile: Profiler.Profile): MechanismTimes {
  const byId = new Map(profile.nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const node of profile.nodes) {
    for (const child of node.children ?? []) parents.set(child, node.id);
  }
  const mechanisms = new Map<number, string>();
  const mechanismOf = (id: number): string => {
    const cached = mechanisms.get(id);
    if (cached !== undefined) return cached;
    const node = byId.get(id);
    const ownMechanism = node && mechanismOfFrame(node.callFrame);
    const parent = parents.get(id);
    const found = ownMechanism ?? (parent === undefined ? 'simulation' : mechanismOf(parent));
    mechanisms.set(id, found);
    return found;
  };
  const times = new Map<string, number>();
  for (const [index, id] of (profile.samples ?? []).entries()) {
    const mechanism = mechanismOf(id);
    const spentMs = (profile.timeDeltas?.[index] ?? 0) / MICROSECONDS_PER_MS;
    times.set(mechanism, (times.get(mechanism) ?? 0) + spentMs);
  }
  return times;
}

/** Scales the times to a given total, keeping their proportions. */
function scaleTo(times: MechanismTimes, totalMs: number): MechanismTimes {
  const sampledMs = [...times.values()].reduce((sum, spentMs) => sum + spentMs, 0);
  return new Map([...times].map(([name, spentMs]) => [name, (spentMs * totalMs) / sampledMs]));
}

/** Mechanism of a stack frame; undefined if its time counts for the caller. */
function mechanismOfFrame({ functionName, url }: Runtime.CallFrame): string | undefined {
  if (functionName === '(garbage collector)') return 'garbage';
  if (functionName === '(idle)') return 'simulation';
  if (!url.includes('/dist/') || url.includes('node_modules')) return undefined;
  if (MEMBER_LISTS.has(functionName)) return 'member lists';
  return MECHANISMS.find(([, modules]) => modules.test(url))?.[0];
}
