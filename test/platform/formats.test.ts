/** Guards against misread rate limits of tenants and builds of engines in the platform's objects. */
import test from 'ava';
import { platformDecoder } from '../../platform/formats.js';
import { QuotaUnit } from '../../src/state/routing/quota/tenant-limit.js';
import { positionAt } from '../helpers/positions.js';

function configurationWith(tenant: object): ReturnType<typeof platformDecoder.configuration> {
  const limits = {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  };
  const tenants = [{ name: 'tenant', api_keys: ['key'], ...tenant }];
  const spec = { version: 1, routes: [], services: [], tenants, limits };
  return platformDecoder.configuration({ name: 'main', position: positionAt(1), spec });
}

function limitWith(tenant: object): unknown {
  const decoded = configurationWith(tenant);
  return decoded.kind === 'value' ? decoded.value.tenants?.[0]?.limit : decoded;
}

test('all fields of a tenant limit are decoded', (t) => {
  const fields = { unit: 'tokens', rate_per_s: 466_712, burst: 1_000, plain_tokens: 200 };
  t.deepEqual(limitWith(fields), {
    unit: QuotaUnit.Tokens,
    ratePerSecond: 466_712,
    burst: 1_000,
    undeclaredTokens: 200,
  });
});

test('an absent or zero rate means no limit', (t) => {
  t.is(limitWith({}), undefined);
  t.is(limitWith({ rate_per_s: 0, burst: 10 }), undefined);
});

test('a limit without a unit counts requests', (t) => {
  t.like(limitWith({ rate_per_s: 5 }), { unit: QuotaUnit.Requests, ratePerSecond: 5, burst: 0 });
});

test('an invalid limit makes the configuration malformed and names the field', (t) => {
  for (const fields of [{ rate_per_s: '5' }, { rate_per_s: -1 }, { burst: null }, { unit: 'x' }]) {
    const decoded = configurationWith(fields);
    t.is(decoded.kind, 'malformed');
    if (decoded.kind === 'malformed') t.regex(decoded.reason, /^tenants\.0\./);
  }
});

test('the build of an engine is the version of its software', (t) => {
  const buildOf = (version: unknown): unknown => {
    const spec = { service: 's', address: '10.0.0.1:80', zone: 'z', state: 'ready', version };
    const decoded = platformDecoder.engine({ name: 'e', position: positionAt(1), spec });
    return decoded.kind === 'value' ? decoded.value.build : decoded.kind;
  };
  t.is(buildOf('v1.1'), 'v1.1');
  t.is(buildOf(2), '2');
  t.is(buildOf(undefined), undefined);
  t.is(buildOf({}), 'malformed');
});
