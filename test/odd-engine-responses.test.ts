/**
 * Guards against routers that end, or stop following the other engines, because one engine states odd
 * values: processes of the bundled program follow the cache events of engines on sockets.
 */
import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { EnginePath, ObjectKind } from '../platform/names.js';
import {
  LARGE_NUMBERS,
  MODEL,
  entryText,
  nested,
  weightsText,
  writeConfiguration,
} from './helpers/odd-entries.js';
import { RawStore } from './helpers/raw-store.js';
import { RouterProcesses, poll } from './helpers/router-processes.js';

const ROUTERS = 3;
const FOLLOWED_MS = 3_000;
/** Feeds are polled about once in 150 ms while events arrive. */
const BETWEEN_MS = 160;
const STARTED_MS = 4_000;

/** An engine that answers all calls with texts that a test sets. */
class TextEngine {
  readonly texts = new Map<string, string>();
  calls = 0;
  private readonly server: Server = createServer((request, response) => {
    const path = (request.url ?? '').split('?')[0] ?? '';
    this.calls += 1;
    request.resume();
    // A feed without events holds the call.
    const delayMs = path === EnginePath.cacheEvents ? BETWEEN_MS / 2 : 0;
    setTimeout(() => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(this.texts.get(path) ?? VALID_TEXTS[path] ?? '{}');
    }, delayMs);
  });

  static async start(): Promise<TextEngine> {
    const engine = new TextEngine();
    await new Promise<void>((resolve) => engine.server.listen(0, '127.0.0.1', resolve));
    return engine;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

const VALID_TEXTS: Readonly<Record<string, string>> = {
  [EnginePath.report]: reportText({}),
  [EnginePath.cacheEvents]: '{"boot_epoch":1,"next_page_token":0,"lost":false,"events":[]}',
  [EnginePath.cacheList]: '{"boot_epoch":1,"next_page_token":0,"held":[]}',
  [EnginePath.loadCommand]: '{}',
};

function reportText(fields: Readonly<Record<string, string>>): string {
  const valid: Record<string, string> = {
    stage: '"both"',
    models: `[{"name":"${MODEL}","version":1,"adapters":[]}]`,
    busy: 'false',
    sequence: '2',
    ...fields,
  };
  const members = Object.entries(valid).map(([name, text]) => `"${name}":${text}`);
  return `{${members.join(',')}}`;
}

const ODD_VALUES = [nested(10_000), nested(100_000), ...LARGE_NUMBERS, '-1', '0.5', '"x"', 'null'];

/** Texts for each path with an odd value in each place; `ODD` marks the place. */
const PLACES: readonly (readonly [path: string, text: string])[] = [
  [EnginePath.report, 'ODD'],
  [EnginePath.report, reportText({ models: `[{"name":"${MODEL}","version":ODD}]` })],
  [EnginePath.report, reportText({ models: 'ODD' })],
  [EnginePath.report, reportText({ sequence: 'ODD' })],
  [EnginePath.report, reportText({ born: 'ODD' })],
  [EnginePath.loadCommand, '{"born":ODD}'],
  [EnginePath.cacheEvents, 'ODD'],
  [EnginePath.cacheEvents, '{"boot_epoch":ODD,"next_page_token":0,"events":[]}'],
  [EnginePath.cacheEvents, '{"boot_epoch":1,"next_page_token":ODD,"events":[]}'],
  [EnginePath.cacheEvents, '{"boot_epoch":1,"next_page_token":1,"events":ODD}'],
  [
    EnginePath.cacheEvents,
    `{"boot_epoch":1,"next_page_token":1,"events":[[ODD,"+","s","5c1e07a2",80,"${MODEL}"]]}`,
  ],
  [
    EnginePath.cacheEvents,
    `{"boot_epoch":1,"next_page_token":1,"events":[[1,"+","s","5c1e07a2",ODD,"${MODEL}"]]}`,
  ],
  [EnginePath.cacheEvents, '{"boot_epoch":1,"next_page_token":1,"lost":true,"events":[]}'],
  [EnginePath.cacheList, '{"boot_epoch":1,"next_page_token":0,"held":ODD}'],
  [EnginePath.cacheList, `{"boot_epoch":1,"next_page_token":0,"held":[["s","5c1e07a2",ODD]]}`],
];

test('odd values in the responses of an engine end no router and hide no other engine', async (t) => {
  const store = await RawStore.start();
  const odd = await TextEngine.start();
  const other = await TextEngine.start();
  writeConfiguration(store, ObjectKind.configuration);
  for (const [name, engine] of Object.entries({ odd, other }))
    store.put(ObjectKind.engines, name, entryText({ address: `"${engine.address}"` }));
  const group = await RouterProcesses.start(ROUTERS, store.address);
  t.teardown(async () => {
    await group.stop();
    for (const each of [store, odd, other]) each.stop();
  });
  await new Promise((resolve) => setTimeout(resolve, STARTED_MS));
  let version = 1;
  for (const [path, text] of PLACES) {
    // Reports are read, and load commands sent, as engines lack the newest weights.
    version += 1;
    store.put(ObjectKind.weightVersions, MODEL, weightsText(MODEL, String(version)));
    for (const value of ODD_VALUES) {
      odd.texts.set(
        path,
        text.replace('ODD', () => value),
      );
      await new Promise((resolve) => setTimeout(resolve, BETWEEN_MS));
      t.deepEqual(group.exits, [], `${path}: ${text} with ${value.slice(0, 40)}`);
    }
    odd.texts.clear();
    const { calls } = other;
    t.true(await poll(() => other.calls > calls, FOLLOWED_MS), `${path}: ${text}`);
  }
  const lines = group.routers.flatMap((router) => router.lines);
  t.true(
    lines.some((line) => line.includes('event=weights_ordered ') && line.includes(' engine=odd@')),
  );
});
