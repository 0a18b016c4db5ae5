/** Commands of the fuzz of tenants' limits: limits that change, tenants that send far beyond them, routers cut off. */
import fc from 'fast-check';
import { STREAM_TOKENS } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { QuotaUnit, type TenantLimit } from '../src/state/routing/quota/tenant-limit.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const tenant = fc.constantFrom('tenant-1', 'tenant-2');
const streamsPerSecond = fc.constantFrom(4, 12, 30);

/** A limit by streams a second, with a burst of a second. */
export function limitOfStreams(perSecond: number): TenantLimit {
  const ratePerSecond = perSecond * STREAM_TOKENS;
  const burst = ratePerSecond;
  return { unit: QuotaUnit.Tokens, ratePerSecond, burst, undeclaredTokens: STREAM_TOKENS / 2 };
}

const limitTenant = fc
  .tuple(tenant, streamsPerSecond)
  .map(([name, perSecond]) =>
    command(`limitTenant(${name}, ${perSecond})`, (world) =>
      world.limitTenant(name, limitOfStreams(perSecond)),
    ),
  );

const unlimitTenant = tenant.map((name) =>
  command(`unlimitTenant(${name})`, (world) => world.limitTenant(name, undefined)),
);

/** One tenant sends through all routers at once, for about a window. */
const hotTenant = fc
  .tuple(tenant, fc.constantFrom(150, 500), fc.constantFrom(8, 15))
  .map(([name, count, gapMs]) =>
    command(`hotTenant(${name}, ${count} each ${gapMs} ms)`, async (world) => {
      for (let turn = 0; turn < count; turn += 1) {
        world.request(turn, turn % 3 === 0 ? 'plain-safe' : 'stream-resumable', name, 0);
        await world.clock.advance(gapMs);
      }
    }),
  );

const isolateRouter = fc
  .tuple(fc.nat(2), fc.constantFrom(600, 2_500, 6_000))
  .map(([index, forMs]) =>
    command(`isolateRouter(${index}, ${forMs})`, (world) => world.isolateRouter(index, forMs)),
  );

/** A tenant's burst begins, and one router is cut off meanwhile. */
const hotTenantBehindCut = fc.tuple(tenant, fc.nat(2)).map(([name, index]) =>
  command(`hotTenantBehindCut(${name}, ${index})`, async (world) => {
    const REQUESTS = 600;
    const GAP_MS = 10;
    const CUT_AFTER = 100;
    for (let turn = 0; turn < REQUESTS; turn += 1) {
      if (turn === CUT_AFTER) world.isolateRouter(index, 4_000);
      world.request(turn, 'stream-once', name, 0);
      await world.clock.advance(GAP_MS);
    }
  }),
);

const QUOTA_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  limitTenant,
  limitTenant,
  limitTenant,
  unlimitTenant,
  hotTenant,
  hotTenant,
  hotTenant,
  isolateRouter,
  hotTenantBehindCut,
];

/** Sequences of commands in which limits and tenants beyond them meet every other fault. */
export const quotaCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...QUOTA_COMMANDS], { maxCommands: maximum });
