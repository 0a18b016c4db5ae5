/** Guards against misread settings, unclear errors, and timeouts that exceed the bounds. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';
import { WATCH_RESPONSE_MARGIN_MS } from '../../platform/object-store-client.js';
import {
  checkSettings,
  gatewaySettingsOf,
  metricsAddressOf,
  readDisabledFeatures,
  readSettings,
} from '../../platform/settings.js';

const SETTINGS = {
  node_name: 'frontend-a-1',
  ip: '10.1.0.30',
  zone: 'a',
  region: 'r',
  listen_addresses: {
    frontend: '10.1.0.30:8782',
    ready: '10.1.0.30:8789',
    directory: '10.1.0.30:8780',
  },
  internal_port_range: [7340, 7355],
  seeds: ['10.2.0.22:8783'],
  bounds: { retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 54, revoke_ms: 4_000 },
  platform: { address: '10.200.1.7:8784', form: 'objects' },
  a_field_of_tomorrow: true,
};

test('unknown fields are ignored and bounds are converted to router settings', (t) => {
  const settings = gatewaySettingsOf(checkSettings('node.json', SETTINGS));
  t.is(settings.gossipAddress, '10.1.0.30:7340');
  t.deepEqual(settings.seeds, ['10.2.0.22:7340']);
  t.true(settings.proofLifetimeMs < 4_000);
  t.is(settings.retryBudget.windowMs, 10_000);
});

test('all issues are reported in one line', (t) => {
  const broken = { ...SETTINGS, zone: 7, platform: { address: 'nowhere' }, bounds: {} };
  const error = t.throws(() => checkSettings('node.json', broken));
  for (const name of ['node.json', 'zone', 'platform.address', 'bounds.retry_window_s']) {
    t.true(error.message.includes(name), `${name}: ${error.message}`);
  }
  t.false(error.message.includes('\n'));
});

test('the error for a missing or invalid file contains its name', (t) => {
  t.throws(() => readSettings('/nowhere/node.json'), { message: /\/nowhere\/node\.json/ });
  const folder = mkdtempSync(path.join(tmpdir(), 'settings-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'node.json');
  writeFileSync(file, '{');
  t.throws(() => readSettings(file), { message: /node\.json/ });
});

test('the metrics address is derived from the configured port and path', (t) => {
  t.is(metricsAddressOf(checkSettings('f', SETTINGS)), undefined);
  const settings = checkSettings('f', { ...SETTINGS, metrics: '8790/figures' });
  t.deepEqual(metricsAddressOf(settings), { address: '10.1.0.30:8790', path: '/figures' });
});

test('a router that has just started stops using replaced weights within the contact time', (t) => {
  const MARGIN_MS = 700;
  for (const bounds of [
    { version_ms: 8_000, contact_ms: 3_000 },
    { version_ms: 10_000, contact_ms: 4_000 },
  ]) {
    const value = { ...SETTINGS, bounds: { ...SETTINGS.bounds, ...bounds } };
    const { rollout, unseenVersionAgeMs } = gatewaySettingsOf(checkSettings('node.json', value));
    // Requests sent by then start within the margin, regardless of when the version was published.
    t.true(rollout.graceMs - unseenVersionAgeMs + MARGIN_MS <= bounds.contact_ms);
  }
});

test('a dead connection to the store is detected within the contact time', (t) => {
  const settings = gatewaySettingsOf(checkSettings('node.json', SETTINGS));
  const CONTACT_MS = 3_000;
  t.true(settings.engineWatchMs + WATCH_RESPONSE_MARGIN_MS < CONTACT_MS);
  t.true(settings.configurationWatchMs + WATCH_RESPONSE_MARGIN_MS < CONTACT_MS);
  // About half of the grace period remains to roll out weights published before the detection.
  t.true(settings.versionWatchMs + WATCH_RESPONSE_MARGIN_MS < settings.rollout.graceMs * 0.55);
});

test('features are switched off by name, and an unknown name is reported with the variable', (t) => {
  t.deepEqual([...readDisabledFeatures({})], []);
  const off = readDisabledFeatures({ PEATSPAN_DISABLED_FEATURES: 'request-queue, prefix-reads' });
  t.deepEqual([...off], ['request-queue', 'prefix-reads']);
  t.throws(() => readDisabledFeatures({ PEATSPAN_DISABLED_FEATURES: 'queue' }), {
    message: /PEATSPAN_DISABLED_FEATURES: queue: expected one of engine-speeds/,
  });
});

test('the bounds of the request queue follow from the memory of the router', (t) => {
  const boundsFor = (limits: Record<string, number>): number | undefined =>
    gatewaySettingsOf(checkSettings('node.json', { ...SETTINGS, limits })).requestQueue
      ?.maximumBytes;
  t.is(boundsFor({ memory_mb: 256 }), 32 * 1_048_576);
  t.is(boundsFor({}), 64 * 1_048_576);
  t.throws(() => checkSettings('node.json', { ...SETTINGS, limits: { memory_mb: 0 } }), {
    message: /limits\.memory_mb/,
  });
});
