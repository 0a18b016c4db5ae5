/** The platform's objects in the product's words. */
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

test('the limit of a tenant is read whole', (t) => {
  const fields = { unit: 'tokens', rate_per_s: 466_712, burst: 1_000, plain_tokens: 200 };
  t.deepEqual(limitWith(fields), {
    unit: QuotaUnit.Tokens,
    ratePerSecond: 466_712,
    burst: 1_000,
    undeclaredTokens: 200,
  });
});

test('a rate that is absent or 0 is no limit', (t) => {
  t.is(limitWith({}), undefined);
  t.is(limitWith({ rate_per_s: 0, burst: 10 }), undefined);
});

test('a limit without a unit counts requests', (t) => {
  t.like(limitWith({ rate_per_s: 5 }), { unit: QuotaUnit.Requests, ratePerSecond: 5, burst: 0 });
});

test('a limit that can not be read makes the configuration malformed, and says where', (t) => {
  for (const fields of [{ rate_per_s: '5' }, { rate_per_s: -1 }, { burst: null }, { unit: 'x' }]) {
    const decoded = configurationWith(fields);
    t.is(decoded.kind, 'malformed');
    if (decoded.kind === 'malformed') t.regex(decoded.reason, /^tenants\.0\./);
  }
});
