/** Guards against an unbounded number of tenant labels on the metrics page. */
import test from 'ava';
import { renderMetrics } from '../../platform/metrics.js';
import type { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { MAXIMUM_NAMED_TENANTS } from '../../src/coordination/gateway/quota/tenant-totals.js';

test('quota totals are reported per tenant, and under one label beyond the maximum', async (t) => {
  const statistics = new GatewayStatistics();
  const node = { statistics, runningCalls: 0, queuedCalls: 0 } as unknown as GatewayNode;
  const { quotaByTenant } = statistics;
  quotaByTenant.noteGranted('tenant-0', 900);
  quotaByTenant.noteGranted('tenant-0', -100);
  const BEYOND = 7;
  for (let index = 0; index < MAXIMUM_NAMED_TENANTS + BEYOND; index += 1) {
    quotaByTenant.noteDenied(`tenant-${index}`, 10);
  }
  const page = await renderMetrics(node);
  t.regex(page, /quota_granted_units_total\{tenant="tenant-0"\} 800\n/);
  t.regex(page, /quota_denied_requests_total\{tenant="tenant-0"\} 1\n/);
  t.regex(page, /quota_denied_requests_total\{tenant="other"\} 7\n/);
  t.regex(page, /quota_denied_units_total\{tenant="other"\} 70\n/);
  t.is(page.match(/quota_denied_units_total\{/g)?.length, MAXIMUM_NAMED_TENANTS + 1);
  t.notRegex(page, /by_tenant/);
});
