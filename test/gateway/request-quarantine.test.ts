/** When a request counts as the cause of crashes, what clears it, and what is told to other routers. */
import test from 'ava';
import fc from 'fast-check';
import {
  decodeCrashAnnouncements,
  encodeCrashAnnouncements,
} from '../../src/coordination/gateway/crash-announcement-codec.js';
import {
  type CrashAnnouncements,
  CrashAnnouncementQueue,
} from '../../src/state/routing/crash-announcement-queue.js';
import {
  QUARANTINE_LIFETIME_MS,
  QuarantineChange,
  RequestQuarantine,
} from '../../src/state/routing/request-quarantine.js';

const CRASHES = 3;

test('three engines that crash under a request put it in quarantine, whoever saw them', (t) => {
  const quarantine = new RequestQuarantine();
  const changes = ['engine-0', 'engine-1', 'engine-1', 'engine-2', 'engine-3'].map(
    (engine, index) => quarantine.noteCrash('request', engine, index),
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
  | { readonly kind: 'good-end' }
  | { readonly kind: 'heard' };

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('crash' as const), engine: fc.nat(5) }),
  fc.constant({ kind: 'good-end' as const }),
  fc.constant({ kind: 'heard' as const }),
);

test('a request is in quarantine just if since its last good end it crashed three engines or was heard of', (t) => {
  const property = fc.property(fc.array(anyStep, { maxLength: 30 }), (steps) => {
    const quarantine = new RequestQuarantine();
    let engines = new Set<number>();
    let isExpected = false;
    steps.forEach((step, atMs) => {
      if (step.kind === 'crash') {
        quarantine.noteCrash('request', `engine-${step.engine}`, atMs);
        engines.add(step.engine);
        isExpected ||= engines.size >= CRASHES;
      } else if (step.kind === 'heard') {
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

test('notices that are older than a good end do not blame again, in whatever order they come', (t) => {
  const quarantine = new RequestQuarantine();
  quarantine.noteCrash('request', 'engine-0', 10);
  quarantine.noteCleared('request', 50);
  for (const engine of ['engine-1', 'engine-2', 'engine-3']) {
    t.is(quarantine.noteCrash('request', engine, 40), QuarantineChange.None);
  }
  t.is(quarantine.noteQuarantined('request', 45), QuarantineChange.None);
  t.false(quarantine.isQuarantined('request'));
});

test('a flood of requests that broke once pushes none out of quarantine, and is forgotten in time', (t) => {
  const quarantine = new RequestQuarantine();
  for (let engine = 0; engine < CRASHES; engine += 1) {
    quarantine.noteCrash('cause', `engine-${engine}`, 0);
  }
  const FLOOD = 20_000;
  for (let index = 0; index < FLOOD; index += 1) {
    quarantine.noteCrash(`bystander-${index}`, 'engine-9', 1);
  }
  t.true(quarantine.isQuarantined('cause'));
  t.deepEqual(quarantine.expire(QUARANTINE_LIFETIME_MS - 1), []);
  t.true(quarantine.isQuarantined('cause'));
  t.deepEqual(quarantine.expire(QUARANTINE_LIFETIME_MS + 1), ['cause']);
  t.true(quarantine.isEmpty);
});

test('each notice goes into four reports, and requests in quarantine are repeated by turns', (t) => {
  const board = new CrashAnnouncementQueue();
  board.addCrash('engine-0', ['a', 'b'], 100);
  board.addClearance('c', 200);
  const since = new Map(Array.from({ length: 20 }, (_, index) => [`q-${index}`, 0] as const));
  const reports = Array.from({ length: 6 }, () => board.take(since, 300));
  t.deepEqual(
    reports.map(({ crashes }) => crashes.length),
    [1, 1, 1, 1, 0, 0],
  );
  t.deepEqual(reports[0]?.crashes, [
    { engineId: 'engine-0', fingerprints: ['a', 'b'], ageMs: 200 },
  ]);
  const cleared = reports.flatMap(({ quarantine }) => quarantine.filter((each) => each.isCleared));
  t.is(cleared.length, 4);
  const told = reports.slice(0, 3).flatMap(({ quarantine }) => quarantine);
  const named = new Set(
    told.filter((each) => !each.isCleared).map(({ fingerprint }) => fingerprint),
  );
  t.is(named.size, 20);
  t.false(board.hasNews);
});

test('what several routers found of one crash goes into one notice while it has room', (t) => {
  const board = new CrashAnnouncementQueue();
  const ROUTERS = 20;
  for (let router = 0; router < ROUTERS; router += 1) {
    board.addCrash('engine-0', [`request-${router}`], router);
  }
  const reports = Array.from({ length: 5 }, () => board.take(new Map(), ROUTERS));
  const notices = reports.flatMap(({ crashes }) => crashes);
  t.is(notices.length, 8);
  const named = new Set(notices.flatMap(({ fingerprints }) => fingerprints));
  t.is(named.size, ROUTERS);
  t.false(board.hasNews);

  board.addCrash('engine-1', ['early'], 0);
  board.addCrash('engine-1', ['late'], 10_000);
  t.is(board.take(new Map(), 10_000).crashes.length, 2);
});

test('crash news arrive as they were sent', (t) => {
  const fingerprint = fc
    .uint8Array({ minLength: 16, maxLength: 16 })
    .map((bytes) => Buffer.from(bytes).toString('hex'));
  const anyNews: fc.Arbitrary<CrashAnnouncements> = fc.record({
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
    fc.property(anyNews, (news) => {
      t.deepEqual(decodeCrashAnnouncements(encodeCrashAnnouncements(news)), news);
    }),
    { seed: 8, numRuns: 100 },
  );
});
