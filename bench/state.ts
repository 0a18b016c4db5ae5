/** Cost of the individual steps of a routing decision. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { type Hasher, createHasher } from '../src/runtime/hasher.js';
import { SeededRandom } from '../src/runtime/random.js';
import { chooseEngine } from '../src/state/engine-choice.js';
import { EngineTable } from '../src/state/engine-table.js';
import { EventFeed } from '../src/state/event-feed.js';
import { BLOCK_BYTES, MARK_BLOCKS, hashBlocks, selectMarks } from '../src/state/prefix-chain.js';
import { PrefixDirectory } from '../src/state/prefix-directory.js';
import { fingerprintOf } from '../src/state/routing/request-fingerprint.js';
import { type BenchResult, medianMicroseconds } from './result.js';
import { RequestBody } from '../src/runtime/request-body.js';

const ENGINES = 730;
const ZONES = ['zone-0', 'zone-1', 'zone-2', 'zone-3', 'zone-4', 'zone-5'];
const SITES = ['site-0', 'site-1'];
const PROMPT_BYTES = 128_000;
const FEED_BLOCKS = 52_000;
const MICROSECONDS_PER_MS = 1_000;

/** Runs all benchmarks of this file. */
export async function benchState(): Promise<BenchResult[]> {
  return [
    await benchChain(),
    benchFingerprint(),
    ...(await benchDecision()),
    ...(await benchFeed()),
  ];
}

async function benchChain(): Promise<BenchResult> {
  const hasher = await createHasher();
  const prompt = Buffer.alloc(PROMPT_BYTES, 'a prompt of 32,000 tokens ');
  const time = medianMicroseconds(40, 10, () => {
    hashBlocks(hasher, 1n, prompt);
  });
  const name = 'chain over a prompt of 32,000 tokens';
  return { name, value: time / MICROSECONDS_PER_MS, unit: 'ms', target: '< 0.5' };
}

/**
 * Routers compute the fingerprint of each request that an engine crash interrupts, and of all
 * requests while any request is suspected of causing crashes.
 */
function benchFingerprint(): BenchResult {
  const body = Buffer.alloc(PROMPT_BYTES, 'a prompt of 32,000 tokens ');
  const identity = {
    tenant: 'tenant',
    host: 'host.example',
    method: 'POST',
    path: '/chat/x',
    body: RequestBody.of(body),
  };
  const time = medianMicroseconds(40, 10, () => {
    fingerprintOf(identity);
  });
  const name = 'fingerprint of a request with a prompt of 32,000 tokens';
  return { name, value: time / MICROSECONDS_PER_MS, unit: 'ms', target: '< 0.5' };
}

function createTable(): EngineTable {
  const table = new EngineTable();
  const ids = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`);
  table.replaceMachines(
    ids.map((engineId, index) => ({
      engineId,
      address: '127.0.0.1:1',
      zone: ZONES[index % ZONES.length] ?? '',
      site: SITES[index % SITES.length] ?? '',
      leaving: false,
    })),
  );
  for (const [index, engineId] of ids.entries()) {
    table.putReport({
      engineId,
      incarnation: 1,
      model: 'model',
      weightsDigest: 'weights',
      adapterDigest: '',
      leaving: false,
      observedAtMs: 0,
      load: {
        waitingTokens: (index * 37) % 5_000,
        requests: index % 20,
        maximumRequests: 32,
        prefillTokensPerSecond: 20_000,
      },
    });
  }
  return table;
}

async function benchDecision(): Promise<BenchResult[]> {
  const hasher = await createHasher();
  const table = createTable();
  const directory = new PrefixDirectory();
  const prompt = Buffer.alloc(BLOCK_BYTES * MARK_BLOCKS * 20, 'a shared beginning ');
  const marks = selectMarks(hashBlocks(hasher, 1n, prompt));
  for (let index = 0; index < 5; index += 1) {
    for (const mark of marks) directory.recordMark(`engine-${index}`, 1, mark, true, 0);
  }
  const random = new SeededRandom(1);
  const request = {
    served: { model: 'model', weightsDigest: 'weights', adapterDigest: '' },
    promptTokens: 6_000,
    sites: new Set(SITES),
    zone: ZONES[0] ?? '',
    recomputeWeight: 0.5,
    excluded: new Set<string>(),
  };
  const time = medianMicroseconds(60, 200, () => {
    chooseEngine(table, directory.depths(marks, 1), request, random, 1);
  });
  return [{ name: 'decision over 730 engines, median', value: time, unit: 'us', target: '< 10' }];
}

setFlagsFromString('--expose_gc');
const runGarbageCollection = runInNewContext('gc') as () => void;

/** Heap size in bytes after a full garbage collection. */
function heapAfterCollection(): number {
  runGarbageCollection();
  return process.memoryUsage().heapUsed;
}

/** Applies chains of 2,000 blocks each; returns the rate in events per second. */
function applyEvents(feed: EventFeed, hasher: Hasher): number {
  const CHAIN_BLOCKS = 2_000;
  const text = Buffer.alloc(BLOCK_BYTES * CHAIN_BLOCKS, 'blocks ');
  let elapsedMs = 0;
  let applied = 0;
  for (let seed = 1n; applied < FEED_BLOCKS; seed += 1n) {
    const chain = hashBlocks(hasher, seed, text);
    const events = chain.map((block, index) => ({
      kind: 'stored' as const,
      block,
      parent: chain[index - 1],
    }));
    const startedMs = performance.now();
    for (const event of events) feed.apply(event);
    elapsedMs += performance.now() - startedMs;
    applied += events.length;
  }
  const MS_PER_SECOND = 1_000;
  return applied / (elapsedMs / MS_PER_SECOND);
}

async function benchFeed(): Promise<BenchResult[]> {
  const hasher = await createHasher();
  const heapBefore = heapAfterCollection();
  const feed = new EventFeed();
  const eventsPerSecond = applyEvents(feed, hasher);
  const bytes = (heapAfterCollection() - heapBefore) / feed.size;
  return [
    {
      name: 'decoded cache events applied per second',
      value: eventsPerSecond,
      unit: '1/s',
      target: '>= 1,000,000',
    },
    {
      name: 'memory per recorded cache block at its owner',
      value: bytes,
      unit: 'B',
      target: '< 100',
    },
  ];
}
