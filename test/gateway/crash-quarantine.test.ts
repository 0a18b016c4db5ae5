/** Guards against requests that keep crashing engines, and quarantined unrelated requests. */
import test from 'ava';
import fc from 'fast-check';
import {
  decodeCrashAnnouncements,
  decodeSuspectAnnouncements,
  encodeCrashAnnouncements,
  encodeSuspectAnnouncements,
} from '../../src/coordination/gateway/crash-announcement-codec.js';
import {
  type CrashAnnouncements,
  CrashAnnouncementQueue,
} from '../../src/state/routing/crash-announcement-queue.js';
import { QuarantineChange, CrashQuarantine } from '../../src/state/routing/crash-quarantine.js';
import { QUARANTINE_LIFETIME_MS } from '../../src/state/routing/quarantine-entry.js';
import { DEFAULT_PART_QUARANTINE_POLICY } from '../../src/state/routing/quarantine-policy.js';
import { promptPartFingerprintOf } from '../../src/state/routing/request-fingerprint.js';

const CRASHES = 3;

/** Records that an engine crashed while the subject was running, and judges it. */
function noteCrash(
  quarantine: CrashQuarantine,
  fingerprint: string,
  engineId: string,
  atMs: number,
): QuarantineChange {
  const isNew = quarantine.recordCrash(fingerprint, engineId, atMs);
  return isNew ? quarantine.judge(fingerprint, atMs) : QuarantineChange.None;
}

test('crashes of three different engines quarantine a request', (t) => {
  const quarantine = new CrashQuarantine();
  const changes = ['engine-0', 'engine-1', 'engine-1', 'engine-2', 'engine-3'].map(
    (engine, index) => noteCrash(quarantine, 'request', engine, index),
  );
  t.deepEqual(changes, [
    QuarantineChange.Suspected,
    QuarantineChange.Suspected,
    QuarantineChange.None,
    QuarantineChange.Quarantined,
    QuarantineChange.Suspected,
  ]);
  t.true(quarantine.isQuarantined('request'));
});

type Step =
  | { readonly kind: 'crash'; readonly engine: number }
  | { readonly kind: 'success' }
  | { readonly kind: 'announced' };

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('crash' as const), engine: fc.nat(5) }),
  fc.constant({ kind: 'success' as const }),
  fc.constant({ kind: 'announced' as const }),
);

test('a request is quarantined if and only if, since its last success, it crashed three engines or was announced', (t) => {
  const property = fc.property(fc.array(anyStep, { maxLength: 30 }), (steps) => {
    const quarantine = new CrashQuarantine();
    let engines = new Set<number>();
    let isExpected = false;
    steps.forEach((step, atMs) => {
      if (step.kind === 'crash') {
        noteCrash(quarantine, 'request', `engine-${step.engine}`, atMs);
        engines.add(step.engine);
        isExpected ||= engines.size >= CRASHES;
      } else if (step.kind === 'announced') {
        quarantine.noteQuarantined('request', atMs);
        isExpected = true;
      } else {
        quarantine.noteCleared('request', atMs);
        engines = new Set();
        isExpected = false;
      }
      t.is(quarantine.isQuarantined('request'), isExpected);
    });
  });
  fc.assert(property, { seed: 7, numRuns: 500 });
});

test('announcements older than a successful completion have no effect, in any order of arrival', (t) => {
  const quarantine = new CrashQuarantine();
  noteCrash(quarantine, 'request', 'engine-0', 10);
  quarantine.noteCleared('request', 50);
  for (const engine of ['engine-1', 'engine-2', 'engine-3']) {
    t.is(noteCrash(quarantine, 'request', engine, 40), QuarantineChange.None);
  }
  t.is(quarantine.noteQuarantined('request', 45), QuarantineChange.None);
  t.false(quarantine.isQuarantined('request'));
});

test('many suspected requests do not evict a quarantined one, and all entries expire', (t) => {
  const quarantine = new CrashQuarantine();
  for (let engine = 0; engine < CRASHES; engine += 1) {
    noteCrash(quarantine, 'cause', `engine-${engine}`, 0);
  }
  const FLOOD = 20_000;
  for (let index = 0; index < FLOOD; index += 1) {
    noteCrash(quarantine, `bystander-${index}`, 'engine-9', 1);
  }
  t.true(quarantine.isQuarantined('cause'));
  t.deepEqual(quarantine.expire(QUARANTINE_LIFETIME_MS - 1), []);
  t.true(quarantine.isQuarantined('cause'));
  t.deepEqual(quarantine.expire(QUARANTINE_LIFETIME_MS + 1), ['cause']);
  t.true(quarantine.isEmpty);
});

test('each announcement is in four reports, and quarantined requests are repeated in rotation', (t) => {
  const queue = new CrashAnnouncementQueue();
  queue.addCrash('engine-0', ['a', 'b'], 100);
  queue.addClearance('c', 200);
  const since = new Map(Array.from({ length: 20 }, (_, index) => [`q-${index}`, 0] as const));
  const reports = Array.from({ length: 6 }, () => queue.take(since, 300));
  t.deepEqual(
    reports.map(({ crashes }) => crashes.length),
    [1, 1, 1, 1, 0, 0],
  );
  t.deepEqual(reports[0]?.crashes, [
    { engineId: 'engine-0', fingerprints: ['a', 'b'], ageMs: 200 },
  ]);
  const cleared = reports.flatMap(({ quarantine }) => quarantine.filter((each) => each.isCleared));
  t.is(cleared.length, 4);
  const repeated = reports.slice(0, 3).flatMap(({ quarantine }) => quarantine);
  const fingerprintsSeen = new Set(
    repeated.filter((each) => !each.isCleared).map(({ fingerprint }) => fingerprint),
  );
  t.is(fingerprintsSeen.size, 20);
  t.false(queue.hasPending);
});

test('crash reports for one engine are merged into one announcement up to its capacity', (t) => {
  const queue = new CrashAnnouncementQueue();
  const ROUTERS = 20;
  for (let router = 0; router < ROUTERS; router += 1) {
    queue.addCrash('engine-0', [`request-${router}`], router);
  }
  const reports = Array.from({ length: 5 }, () => queue.take(new Map(), ROUTERS));
  const announcements = reports.flatMap(({ crashes }) => crashes);
  t.is(announcements.length, 8);
  const fingerprintsSeen = new Set(announcements.flatMap(({ fingerprints }) => fingerprints));
  t.is(fingerprintsSeen.size, ROUTERS);
  t.false(queue.hasPending);

  queue.addCrash('engine-1', ['early'], 0);
  queue.addCrash('engine-1', ['late'], 10_000);
  t.is(queue.take(new Map(), 10_000).crashes.length, 2);
});

test('crash announcements survive encoding and decoding', (t) => {
  const fingerprint = fc
    .uint8Array({ minLength: 16, maxLength: 16 })
    .map((bytes) => Buffer.from(bytes).toString('hex'));
  const anyAnnouncements: fc.Arbitrary<CrashAnnouncements> = fc.record({
    crashes: fc.array(
      fc.record({
        engineId: fc.string(),
        fingerprints: fc.array(fingerprint),
        ageMs: fc.nat(),
      }),
    ),
    quarantine: fc.array(fc.record({ fingerprint, isCleared: fc.boolean(), ageMs: fc.nat() })),
  });
  fc.assert(
    fc.property(anyAnnouncements, (announcements) => {
      t.deepEqual(decodeCrashAnnouncements(encodeCrashAnnouncements(announcements)), announcements);
    }),
    { seed: 8, numRuns: 100 },
  );
});

/** Longer than the time within which crashes of prompt parts count as one. */
const APART_MS = 1_000;

/** Crashes and completions of prompt parts, apart in time. */
class PartHistory {
  readonly quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
  private nowMs = 0;

  /** An engine crashes while the parts are running. */
  crash(engine: string, parts: readonly string[]): void {
    this.nowMs += APART_MS;
    for (const part of parts) this.quarantine.recordCrash(part, engine, this.nowMs);
    for (const part of parts) this.quarantine.judge(part, this.nowMs);
  }

  /** A request with the part completes. */
  complete(part: string): void {
    this.nowMs += APART_MS;
    this.quarantine.noteCleared(part, this.nowMs);
  }
}

test('crashes of engines that fail together count once against a prompt part', (t) => {
  const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
  const ENGINES = 12;
  for (let engine = 0; engine < ENGINES; engine += 1)
    noteCrash(quarantine, 'part', `engine-${engine}`, engine);
  t.is(quarantine.crashCount('part'), 1);
  t.false(quarantine.isQuarantined('part'));
  for (let crash = 1; crash < DEFAULT_PART_QUARANTINE_POLICY.crashes; crash += 1)
    noteCrash(quarantine, 'part', `later-${crash}`, crash * APART_MS);
  t.true(quarantine.isQuarantined('part'));
});

test('crashes during one request count once against the parts of its prompt', (t) => {
  const requests = new CrashQuarantine();
  const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY, (engineIds) =>
    requests.crashesOfOneSubject(engineIds),
  );
  const ENGINES = 12;
  for (let engine = 0; engine < ENGINES; engine += 1) {
    noteCrash(requests, 'request', `engine-${engine}`, engine * APART_MS);
    noteCrash(quarantine, 'part', `engine-${engine}`, engine * APART_MS);
  }
  t.is(quarantine.crashCount('part'), 1);
  t.false(quarantine.isQuarantined('part'));
});

for (const [description, completed, order] of [
  ['that all prompts share', [], ['common', 'cause']],
  ['that has been completed', ['common'], ['cause', 'common']],
] as const) {
  test(`a prompt part ${description} is not blamed for one that comes with it`, (t) => {
    const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
    let nowMs = 0;
    const crash = (engine: string, parts: readonly string[]): void => {
      nowMs += APART_MS;
      for (const part of parts) noteCrash(quarantine, part, engine, nowMs);
    };
    crash('first', ['common']);
    for (const part of completed) quarantine.noteCleared(part, (nowMs += APART_MS));
    for (let engine = 0; engine < DEFAULT_PART_QUARANTINE_POLICY.crashes; engine += 1)
      crash(`engine-${engine}`, order);
    t.true(quarantine.isQuarantined('cause'));
    t.false(quarantine.isQuarantined('common'));
  });
}

// A request that is sent again and again crashes several engines, which count as one crash.
test('a prompt part beside few of the crashed engines is no likelier cause', (t) => {
  const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
  const { crashes, mergedWithinMs } = DEFAULT_PART_QUARANTINE_POLICY;
  const ENGINES_PER_CRASH = 3;
  for (let crash = 0; crash < crashes; crash += 1) {
    for (let engine = 0; engine < ENGINES_PER_CRASH; engine += 1) {
      const atMs = crash * APART_MS + (engine * mergedWithinMs) / ENGINES_PER_CRASH;
      const isBeside = engine === 0 && crash > 0;
      if (isBeside) noteCrash(quarantine, 'beside', `engine-${crash}-${engine}`, atMs);
      noteCrash(quarantine, 'cause', `engine-${crash}-${engine}`, atMs);
    }
  }
  t.true(quarantine.isQuarantined('cause'));
  t.false(quarantine.isQuarantined('beside'));
});

// The completion of the common part clears it of the first crashes, at which the cause was too.
test('a prompt part that has been completed is not blamed for one that had crashed engines before', (t) => {
  const history = new PartHistory();
  history.crash('first', ['common', 'cause']);
  history.complete('common');
  history.crash('engine-0', ['common', 'cause']);
  history.crash('engine-1', ['common']);
  history.crash('engine-2', ['common']);
  history.crash('engine-3', ['common', 'cause']);
  t.false(history.quarantine.isQuarantined('common'));
  history.crash('engine-4', ['common', 'cause']);
  t.true(history.quarantine.isQuarantined('cause'));
  t.false(history.quarantine.isQuarantined('common'));
});

// The cause was completed too: a short response may end before its engine crashes.
test('a prompt part is not blamed for one that was completed longer ago', (t) => {
  const history = new PartHistory();
  history.crash('first', ['common', 'cause']);
  for (const part of ['common', 'cause']) history.complete(part);
  history.crash('engine-0', ['common', 'cause']);
  history.crash('engine-1', ['common', 'cause']);
  history.complete('common');
  history.crash('engine-2', ['common', 'cause']);
  history.crash('restarted-0', ['common']);
  history.crash('restarted-1', ['common']);
  history.crash('engine-3', ['common', 'cause']);
  t.true(history.quarantine.isQuarantined('cause'));
  t.false(history.quarantine.isQuarantined('common'));
});

// Two parts crash engines in turn, and the quarantine of one was announced by another router.
test('crashes of a part that another router quarantined are held against no other part', (t) => {
  const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
  noteCrash(quarantine, 'common', 'engine-0', 0);
  noteCrash(quarantine, 'cause', 'engine-0', 0);
  noteCrash(quarantine, 'common', 'engine-1', APART_MS);
  noteCrash(quarantine, 'cause', 'engine-1', APART_MS);
  t.is(quarantine.noteQuarantined('cause', APART_MS), QuarantineChange.Quarantined);
  t.is(quarantine.crashCount('common'), 0);
});

test('a prompt part at more crashes than any other is quarantined', (t) => {
  const quarantine = new CrashQuarantine(DEFAULT_PART_QUARANTINE_POLICY);
  const { crashes } = DEFAULT_PART_QUARANTINE_POLICY;
  for (let engine = 0; engine <= crashes; engine += 1) {
    noteCrash(quarantine, 'cause', `engine-${engine}`, engine * APART_MS);
    noteCrash(quarantine, `beside-${engine % 2}`, `engine-${engine}`, engine * APART_MS);
  }
  t.true(quarantine.isQuarantined('cause'));
  t.false(quarantine.isQuarantined('beside-0') || quarantine.isQuarantined('beside-1'));
});

test('announcements on requests and prompt parts are told apart', (t) => {
  const requests: CrashAnnouncements = {
    crashes: [{ engineId: 'engine', fingerprints: ['a'.repeat(32)], ageMs: 1 }],
    quarantine: [],
  };
  const promptParts: CrashAnnouncements = {
    crashes: [],
    quarantine: [{ fingerprint: 'b'.repeat(32), isCleared: false, ageMs: 2 }],
  };
  const decoded = decodeSuspectAnnouncements(encodeSuspectAnnouncements({ requests, promptParts }));
  t.deepEqual(decoded, { requests, promptParts });
});

test('a prompt part has a fingerprint of its own in each model and for each isolated tenant', (t) => {
  const part = { model: 'model', isolatedTenant: undefined, partId: 'part' };
  const fingerprints = [
    part,
    { ...part, model: 'other' },
    { ...part, isolatedTenant: 'tenant' },
    { ...part, isolatedTenant: '-' },
    { ...part, partId: 'other' },
  ].map(promptPartFingerprintOf);
  t.is(new Set(fingerprints).size, fingerprints.length);
});
