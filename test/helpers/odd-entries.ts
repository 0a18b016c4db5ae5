/**
 * JSON texts of odd entries, as another writer may leave them: deeply nested, with a number that is too
 * large, or with a port out of range.
 */
import { ObjectKind } from '../../platform/names.js';
import type { RawStore } from './raw-store.js';

/** The only service of the texts. */
export const SERVICE = 'llm';
export const MODEL = 'model-a';
/** Of the valid entries. */
export const TRUE_ADDRESS = '127.0.0.1:9';
export const TRUE_START_MS = 1_764_720_000_123;

/** An odd entry of an engine. */
export interface OddEntry {
  readonly what: string;
  readonly name?: string;
  readonly spec: string;
  /** JSON text of the stated revision; that of the write by default. */
  readonly revision?: string;
}

/** An array nested to the depth. */
export function nested(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

/** A valid entry with some fields replaced by JSON texts; an undefined one is left out. */
export function entryText(fields: Readonly<Record<string, string | undefined>> = {}): string {
  const valid: Record<string, string | undefined> = {
    service: `"${SERVICE}"`,
    address: `"${TRUE_ADDRESS}"`,
    zone: '"zone-a"',
    slots: '8',
    state: '"ready"',
    sequence: '1',
    born: String(TRUE_START_MS),
    version: '"1.0"',
    models: `[{"name":"${MODEL}","version":1}]`,
    ...fields,
  };
  const members = Object.entries(valid).flatMap(([key, text]) =>
    text === undefined ? [] : [`${JSON.stringify(key)}:${text}`],
  );
  return `{${members.join(',')}}`;
}

const NESTED_FIELDS = ['unknown', 'zone', 'models', 'version', 'state', 'born'];

/** Entries with values nested to the depth, in each place. */
export function nestedEntries(depth: number): readonly OddEntry[] {
  return [
    ...NESTED_FIELDS.map((field) => ({
      what: `${field} nested ${depth} deep`,
      spec: entryText({ [field]: nested(depth) }),
    })),
    {
      what: `objects nested ${depth} deep`,
      spec: entryText({ unknown: `${'{"a":'.repeat(depth)}0${'}'.repeat(depth)}` }),
    },
    { what: `a spec nested ${depth} deep`, spec: nested(depth) },
    { what: 'a name of brackets', name: '['.repeat(190), spec: entryText({ a: nested(depth) }) },
  ];
}

export const LARGE_NUMBERS = [
  '1e400',
  '-1e400',
  '9007199254740991',
  '9007199254740993',
  '1099511627776',
];
const NUMBER_FIELDS = ['slots', 'sequence', 'born', 'version', 'unknown'];
const ADDRESSES = [
  '127.0.0.1:0',
  '127.0.0.1:-1',
  '127.0.0.1:65536',
  '127.0.0.1:70000',
  '127.0.0.1:99999',
  '127.0.0.1:80.5',
  '127.0.0.1:1e3',
  '127.0.0.1:',
  '127.0.0.1',
  '[::1]:80',
  '::1:80',
  '[::1]:70000',
  'no-such-host.invalid:80',
  'no-such-host.invalid',
  ':80',
  '',
];
/** Each takes three bytes of text and some 60 of memory. */
export const EMPTY_OBJECTS = `[${'{},'.repeat(300_000)}{}]`;
const LONG = 'x'.repeat(300_000);
/** Almost the size limit of an object, 1 MiB. */
const LONGEST = 'x'.repeat(1_040_000);

/** Entries with numbers that are too large, in each place. */
export const NUMBER_ENTRIES: readonly OddEntry[] = [
  ...LARGE_NUMBERS.flatMap((number) => [
    ...NUMBER_FIELDS.map((field) => ({
      what: `${field} of ${number}`,
      spec: entryText({ [field]: number }),
    })),
    {
      what: `weights of ${number}`,
      spec: entryText({ models: `[{"name":"${MODEL}","version":${number}}]` }),
    },
  ]),
  ...['9007199254740991', '9007199254740993', '1e400', '-1', '0.5'].map((number) => ({
    what: `a revision of ${number}`,
    spec: entryText(),
    revision: number,
  })),
];

/** Entries with addresses that can't be connected to. */
export const ADDRESS_ENTRIES: readonly OddEntry[] = [
  ...ADDRESSES.map((address) => ({
    what: `the address ${address}`,
    spec: entryText({ address: JSON.stringify(address) }),
  })),
  { what: 'a number as address', spec: entryText({ address: '70000' }) },
];

/** Entries with long texts and lists, and with unusual names. */
export const LARGE_ENTRIES: readonly OddEntry[] = [
  { what: 'an unknown text of 300 kB', spec: entryText({ unknown: `"${LONG}"` }) },
  { what: 'a zone of 300 kB', spec: entryText({ zone: `"${LONG}"` }) },
  { what: 'a text of 1 MB', spec: entryText({ unknown: `"${LONGEST}"` }) },
  { what: '20000 models', spec: entryText({ models: modelsText(20_000) }) },
  { what: 'empty objects', spec: entryText({ unknown: EMPTY_OBJECTS }) },
  {
    what: 'the members __proto__ and constructor',
    spec: entryText({ ['__proto__']: '{"slots":1}', constructor: '{"prototype":{"slots":1}}' }),
  },
  { what: 'half of a character', name: 'odd-\ud800', spec: entryText({ zone: '"\\ud800"' }) },
];

function modelsText(count: number): string {
  const models = Array.from({ length: count }, (_, index) => `{"name":"m-${index}","version":1}`);
  return `[${models.join(',')}]`;
}

/** Writes a configuration with one service and one route. */
export function writeConfiguration(store: RawStore, kind: string, version = 1, extra = ''): void {
  store.put(kind, 'main', configurationText(version, extra));
}

/** @param extra further members, beginning with a comma */
export function configurationText(version = 1, extra = ''): string {
  const spec = JSON.stringify({
    version,
    routes: [
      {
        name: 'stream',
        host: 'host.example',
        path_prefix: '/stream/',
        service: SERVICE,
        kind: 'streaming',
        timeout_ms: 5_000,
      },
    ],
    services: [
      {
        name: SERVICE,
        max_connections: 64,
        engine: { slots: 8, kv_capacity_tokens: 90_000, kv_token_bytes: 100, link_mbps: 1_000 },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
  return `${spec.slice(0, -1)}${extra}}`;
}

/** Texts with versions of weights that can't be announced. */
export const ODD_WEIGHTS: readonly string[] = [
  ...LARGE_NUMBERS,
  '4294967296',
  '-1',
  '0.5',
  '1e300',
  nested(10_000),
  'null',
].map((version) => weightsText(MODEL, version));

export function weightsText(model: string, version: string): string {
  return `{"model":${JSON.stringify(model)},"version":${version}}`;
}

/** An odd object of a kind that is not that of engines. */
export interface OddObject {
  readonly kind: string;
  readonly name: string;
  readonly spec: string;
}

const ODD_VALUES = [nested(10_000), nested(500_000), ...LARGE_NUMBERS, '-1', '"x"', '{}', 'null'];

/** Specs of other kinds with an odd value in each place; `ODD` marks the place. */
const OTHER_KINDS: readonly OddObject[] = [
  { kind: ObjectKind.configuration, name: 'other', spec: 'ODD' },
  { kind: ObjectKind.configuration, name: 'main', spec: 'ODD' },
  { kind: ObjectKind.configuration, name: 'main', spec: '{"version":ODD}' },
  { kind: ObjectKind.configuration, name: 'main', spec: configurationText(1, ',"tenants":ODD') },
  { kind: ObjectKind.configuration, name: 'main', spec: configurationText(1, ',"limits":ODD') },
  { kind: ObjectKind.leases, name: 'weights', spec: 'ODD' },
  {
    kind: ObjectKind.leases,
    name: 'weights',
    spec: '{"holder":"x","life":"y","fencingToken":ODD}',
  },
  { kind: ObjectKind.quarantine, name: '0f'.repeat(16), spec: 'ODD' },
  {
    kind: ObjectKind.quarantine,
    name: '0e'.repeat(16),
    spec: '{"tenant":"t","route":"r","path":"/","engines":[],"quarantinedAtMs":ODD}',
  },
  { kind: ObjectKind.builds, name: 'main', spec: 'ODD' },
  {
    kind: ObjectKind.builds,
    name: 'main',
    spec: `{"services":[{"name":"${SERVICE}","builds":ODD}]}`,
  },
  { kind: ObjectKind.builds, name: 'main', spec: '{"services":[],"era":ODD}' },
];

/** Odd objects of all kinds that routers read, except of engines. */
export const ODD_OBJECTS: readonly OddObject[] = OTHER_KINDS.flatMap((object) =>
  ODD_VALUES.map((value) => ({ ...object, spec: object.spec.replace('ODD', () => value) })),
);
