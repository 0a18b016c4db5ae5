/**
 * `node dist/soak/mutations.js [PROMISE]`: disables safeguards of the program, one at a time, and
 * reports whether the soak detects the broken promise. With an argument, only the mutations of that
 * promise run. Takes some minutes; not part of the test suite.
 */
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import type { SoakPromise } from './oracle.js';
import { runSoak } from './soak-run.js';

/** A change of the source that disables a safeguard. */
interface Mutation {
  readonly name: string;
  readonly promise: SoakPromise;
  /** Path of the source file, relative to the repository root. */
  readonly file: string;
  readonly text: string;
  readonly replacement: string;
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: 'three crashes at one moment quarantine a request for good',
    promise: 'sound-denied',
    file: 'src/state/routing/crash-quarantine.ts',
    text: 'if (this.crashesOf(entry) >= crashes && crashSpanMs(entry.crashes) >= unprovenWithinMs)',
    replacement: 'if (crashSpanMs(entry.crashes) >= 0 && entry.crashes.size >= crashes)',
  },
  {
    name: 'all tenants that are not isolated share one salt for ever',
    promise: 'isolated-memory',
    file: 'src/state/routing/cache-namespace.ts',
    text: "if (isolated.length === 0) return '';",
    replacement: "if (isolated.length >= 0) return '';",
  },
  {
    name: 'the directory lists unresponsive routers until they are declared dead',
    promise: 'directory',
    file: 'src/coordination/gateway/group-membership.ts',
    text: 'HEARTBEAT_TIMEOUT_MS = 2_500',
    replacement: 'HEARTBEAT_TIMEOUT_MS = 60_000',
  },
  {
    name: 'draining engines receive requests',
    promise: 'engine-drained',
    file: 'src/state/routing/placement.ts',
    text: 'if (isDraining || ',
    replacement: 'if (',
  },
  {
    name: 'notices of draining in engine responses are ignored',
    promise: 'leaving-engine-unused',
    file: 'src/coordination/gateway/engine-notices.ts',
    text: 'if (isLeaving && registry.noteLeaving(id)) {',
    replacement: 'if (isLeaving && id === "") {',
  },
  {
    name: 'retry delays requested by engines are ignored',
    promise: 'backoff-kept',
    file: 'src/coordination/gateway/engine-notices.ts',
    text: 'if (backoffMs !== undefined) {',
    replacement: 'if (backoffMs === -1) {',
  },
  {
    name: 'rate limits announced by engines are ignored',
    promise: 'limit-kept',
    file: 'src/coordination/gateway/engine-notices.ts',
    text: 'if (limitPerSecond !== undefined) limitDiscovery',
    replacement: 'if (limitPerSecond === -1) limitDiscovery',
  },
  {
    name: 'routers never reach engines through other routers',
    promise: 'served-while-cut',
    file: 'src/coordination/gateway/engine-path/engine-forwarding.ts',
    text: 'if (!parts || parts.path.state === EnginePathState.Open) return DIRECT;',
    replacement: 'if (!parts || parts !== undefined) return DIRECT;',
  },
  {
    name: 'tenants have no limits',
    promise: 'tenant-limit',
    file: 'src/coordination/gateway/quota/tenant-quotas.ts',
    text: 'if (!limit) {\n      onDecision',
    replacement: 'if (!limit || declaredTokens !== -1) {\n      onDecision',
  },
  {
    name: 'statements of engines that they are brittle are ignored',
    promise: 'brittle-engines-spared',
    file: 'platform/engine-notice.ts',
    text: 'parseDecimal(headers[Header.brittle]?.toString())',
    replacement: 'parseDecimal(undefined)',
  },
  {
    name: 'confirmations of the configuration never expire',
    promise: 'key-removed',
    file: 'platform/settings.ts',
    text: 'PROOF_LIFETIME_RATIO = 0.92',
    replacement: 'PROOF_LIFETIME_RATIO = 1_000',
  },
  {
    name: 'every request is retried',
    promise: 'at-most-once',
    file: 'platform/formats.ts',
    text: "isRepeatable: route.kind === 'safe' || isResumable",
    replacement: 'isRepeatable: true',
  },
  {
    name: 'every stream is resumed',
    promise: 'at-most-once',
    file: 'platform/formats.ts',
    text: 'const isResumable = isStreaming && (route.resumable ?? false)',
    replacement: 'const isResumable = isStreaming',
  },
  {
    name: 'requests that may have run are rejected as not executed',
    promise: 'not-run',
    file: 'src/coordination/gateway/request-call.ts',
    text: 'else if (this.mayHaveRun || isAwaitingHead) this.refuse',
    replacement: 'else if (this.request.id === "") this.refuse',
  },
  {
    name: 'a planned stop ends the process immediately',
    promise: 'planned-stop',
    file: 'platform/stop-sequence.ts',
    text: 'this.node.leave(schedule);',
    replacement: 'process.exit(0);',
  },
  {
    name: 'a stopping router begins whatever arrives',
    promise: 'planned-stop',
    file: 'src/coordination/gateway/shutdown.ts',
    text: 'this.schedule = schedule;',
    replacement: 'this.schedule = { ...schedule, endMs: Infinity };',
  },
  {
    name: 'a partial event is forwarded before the stream is resumed elsewhere',
    promise: 'whole-answer',
    file: 'src/coordination/gateway/call-response.ts',
    text: 'if (!this.mode.isResumable) return',
    replacement: 'if (this.mode) return',
  },
  {
    name: 'the end of a stream without a length counts as that of the whole',
    promise: 'whole-answer',
    file: 'src/coordination/gateway/call-stream-end.ts',
    text: 'if (!response.isResumable || unconfirmedEngine !== undefined) return false;',
    replacement: 'if (response.isResumable || unconfirmedEngine !== undefined) return false;',
  },
  {
    name: 'two heads of responses are taken for one',
    promise: 'whole-answer',
    file: 'platform/response-head-check.ts',
    text: 'text.includes(PROTOCOL_NAME) && ',
    replacement: 'text === PROTOCOL_NAME && ',
  },
  {
    name: 'a caller gets events again',
    promise: 'whole-answer',
    file: 'src/coordination/gateway/request-call.ts',
    text: 'if (call.response.repeatsEvents) {',
    replacement: 'if (call.response.repeatsEvents && call.now < 0) {',
  },
  {
    name: 'a response that is no stream continues one',
    promise: 'whole-answer',
    file: 'src/coordination/gateway/request-call.ts',
    text: 'if (call.hasBegun && !isContinuation(head)) {',
    replacement: 'if (call.hasBegun && !isContinuation(head) && call.now < 0) {',
  },
  {
    name: 'streams go on at engines of any build',
    promise: 'one-build',
    file: 'src/coordination/gateway/call-placement.ts',
    text: 'if (!requiredBuild) return engines;',
    replacement: 'if (requiredBuild !== null) return engines;',
  },
  {
    name: 'requests that crash engines are never quarantined',
    promise: 'crashes-bounded',
    file: 'src/state/routing/crash-quarantine.ts',
    text: 'crashes: 3,',
    replacement: 'crashes: Infinity,',
  },
  {
    name: 'prompt parts that crash engines are never quarantined',
    promise: 'crashes-bounded',
    file: 'src/state/routing/crash-quarantine.ts',
    text: 'crashes: 4,',
    replacement: 'crashes: Infinity,',
  },
  {
    name: 'entries with an unknown state are used',
    promise: 'odd-entry-unused',
    file: 'platform/formats.ts',
    text: 'state: z.enum(EngineState)',
    replacement: 'state: z.string()',
  },
  {
    name: 'no load commands are sent to engines',
    promise: 'weights-in-force',
    file: 'src/coordination/gateway/weight-coordinator.ts',
    text: 'void this.loadCommands.send(engine, model, version)',
    replacement: 'void [engine, model, version]',
  },
];
/** Words in the names of mutations that are about contradicted responses. */
const CONTRADICTIONS = ['two heads', 'events again', 'no stream'];
/** Words in the names of mutations that are about late requests to a router that stops. */
const STOPS = 'stopping router';
const SEEDS_PER_MUTATION = 8;
const SPAN_MS = 20_000;

async function bundleMutation(
  { file, text, replacement }: Mutation,
  program: string,
): Promise<void> {
  const source = readFileSync(file, 'utf8');
  if (!source.includes(text)) throw new Error(`${file} does not contain: ${text}`);
  await build({
    entryPoints: ['platform/main.ts'],
    outfile: program,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    plugins: [
      {
        name: 'mutation',
        setup: ({ onLoad }) => {
          const filter = new RegExp(`${file.replaceAll('.', '\\.')}$`);
          onLoad({ filter }, () => ({
            contents: source.replace(text, replacement),
            loader: 'ts',
          }));
        },
      },
    ],
  });
}

/** The first seed with which the soak detects the mutation; undefined if none does. */
async function findDetectingSeed(mutation: Mutation): Promise<number | undefined> {
  const folder = mkdtempSync(join(tmpdir(), 'peatspan-soak-mutation-'));
  const program = join(folder, 'mutated.cjs');
  await bundleMutation(mutation, program);
  for (let seed = 1; seed <= SEEDS_PER_MUTATION; seed += 1) {
    const runFolder = join(folder, String(seed));
    const options = {
      seed,
      spanMs: SPAN_MS,
      routers: 4,
      hasEngineLives: true,
      hasEngineNotices: true,
      hasEngineLimits: true,
      hasStoreRestorations: false,
      hasEngineCuts: mutation.promise === 'served-while-cut',
      hasBrittleEngines: mutation.promise === 'brittle-engines-spared',
      hasCrashingParts: mutation.name.includes('prompt parts'),
      hasTenantQuotas: mutation.promise === 'tenant-limit',
      hasSilentEngines: mutation.promise === 'response-completed',
      hasSpoiledResponses: false,
      hasEarlyEnds: mutation.name.includes('without a length'),
      hasBuildReleases: false,
      hasLongStreams: mutation.name.includes(STOPS),
      hasContradictedResponses: CONTRADICTIONS.some((word) => mutation.name.includes(word)),
      hasOddEntries: false,
      hasClientCrowds: false,
      hasJointCrashes: mutation.promise === 'sound-denied',
      hasChangingIsolation: mutation.promise === 'isolated-memory',
      callers: 12,
      folder: runFolder,
      programs: [program],
    };
    const { violations } = await runSoak(options);
    if (violations.some(({ promise }) => promise === mutation.promise)) return seed;
  }
  return undefined;
}

const [onlyPromise] = process.argv.slice(2);
const results = await Promise.all(
  MUTATIONS.filter(({ promise }) => (onlyPromise ?? promise) === promise).map(async (mutation) => ({
    mutation,
    seed: await findDetectingSeed(mutation),
  })),
);
for (const { mutation, seed } of results) {
  const verdict = seed === undefined ? 'NOT FOUND' : `found with seed ${seed}`;
  process.stdout.write(`${verdict}: ${mutation.name} (${mutation.promise})\n`);
}
process.exitCode = results.some(({ seed }) => seed === undefined) ? 1 : 0;
