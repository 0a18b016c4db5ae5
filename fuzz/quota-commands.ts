/** Fuzz commands on tenant limits: changed limits, tenants that exceed them, partitions. */
import fc from 'fast-check';
import { STREAM_TOKENS } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { QuotaUnit, type TenantLimit } from '../src/state/routing/quota/tenant-limit.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const tenant = fc.constantFrom('tenant-1', 'tenant-2');
const streamsPerSecond = fc.constantFrom(4, 12, 30);

/** A limit in streams per second, with a burst of one second. */
export function limitOfStreams(perSecond: number): TenantLimit {
  const ratePerSecond = perSecond * STREAM_TOKENS;
  const burst = ratePerSecond;
  return { unit: QuotaUnit.Tokens, ratePerSecond, burst, undeclaredTokens: STREAM_TOKENS / 2 };
}

const limitTenant = fc
  .tuple(tenant, streamsPerSecond)
  .map(([name, perSecond]) =>
    command(`limitTenant(${name}, ${perSecond})`, (simulation) =>
      simulation.limitTenant(name, limitOfStreams(perSecond)),
    ),
  );

const unlimitTenant = tenant.map((name) =>
  command(`unlimitTenant(${name})`, (simulation) => simulation.limitTenant(name, undefined)),
);

/** A tenant sends through all routers, for about one window. */
const exceedLimit = fc
  .tuple(tenant, fc.constantFrom(150, 500), fc.constantFrom(8, 15))
  .map(([name, count, gapMs]) =>
    command(`exceedLimit(${name}, ${count} each ${gapMs} ms)`, async (simulation) => {
      for (let step = 0; step < count; step += 1) {
        simulation.request(step, step % 3 === 0 ? 'plain-safe' : 'stream-resumable', name, 0);
        await simulation.clock.advance(gapMs);
      }
    }),
  );

const isolateRouter = fc
  .tuple(fc.nat(2), fc.constantFrom(600, 2_500, 6_000))
  .map(([index, forMs]) =>
    command(`isolateRouter(${index}, ${forMs})`, (simulation) =>
      simulation.isolateRouter(index, forMs),
    ),
  );

/** A router is isolated during a tenant's burst. */
const exceedLimitDuringCut = fc.tuple(tenant, fc.nat(2)).map(([name, index]) =>
  command(`exceedLimitDuringCut(${name}, ${index})`, async (simulation) => {
    const REQUESTS = 600;
    const GAP_MS = 10;
    const CUT_AFTER = 100;
    for (let step = 0; step < REQUESTS; step += 1) {
      if (step === CUT_AFTER) simulation.isolateRouter(index, 4_000);
      simulation.request(step, 'stream-once', name, 0);
      await simulation.clock.advance(GAP_MS);
    }
  }),
);

/** A router responds late again and again during a tenant's burst. */
const exceedLimitWhileSlow = fc
  .tuple(tenant, fc.nat(2), fc.constantFrom(30, 60, 90, 300))
  .map(([name, index, pauseMs]) =>
    command(`exceedLimitWhileSlow(${name}, ${index}, ${pauseMs})`, async (simulation) => {
      const REQUESTS = 600;
      const GAP_MS = 10;
      const periodMs = Math.ceil((1.6 * pauseMs) / GAP_MS) * GAP_MS;
      for (let step = 0; step < REQUESTS; step += 1) {
        if ((step * GAP_MS) % periodMs === 0) simulation.freezeRouter(index, pauseMs);
        simulation.request(step, 'stream-once', name, 0);
        await simulation.clock.advance(GAP_MS);
      }
    }),
  );

const QUOTA_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  limitTenant,
  limitTenant,
  limitTenant,
  unlimitTenant,
  exceedLimit,
  exceedLimit,
  exceedLimit,
  isolateRouter,
  exceedLimitDuringCut,
  exceedLimitWhileSlow,
];

/** Generates sequences that combine tenant limits with every other fault. */
export const quotaCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...QUOTA_COMMANDS], { maxCommands: maximum });
