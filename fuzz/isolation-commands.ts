/** Fuzz commands on configurations that isolate tenants, or let them share cached prompts again. */
import fc from 'fast-check';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const TENANTS = ['tenant-1', 'tenant-2'] as const;
const GAP_MS = 40;
const tenant = fc.constantFrom(...TENANTS);
const isolated = fc.boolean();

/** Changes a tenant's isolation. */
const isolateTenant = fc
  .tuple(tenant, isolated)
  .map(([name, isIsolated]) =>
    command(`isolateTenant(${name}, ${isIsolated})`, (simulation) =>
      simulation.configuration.isolateTenant(name, isIsolated),
    ),
  );

/** Streams of both tenants, whose prompts begin alike, come to all routers beside a change. */
const changeDuringStreams = fc
  .tuple(tenant, isolated, fc.constantFrom(8, 30, 110))
  .map(([name, isIsolated, count]) =>
    command(`changeDuringStreams(${name}, ${isIsolated}, ${count})`, async (simulation) => {
      for (let step = 0; step < count; step += 1) {
        if (step === Math.floor(count / 4))
          simulation.configuration.isolateTenant(name, isIsolated);
        for (const each of TENANTS) simulation.request(step, 'stream-resumable', each, 0);
        await simulation.clock.advance(GAP_MS);
      }
    }),
  );

const ISOLATION_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  isolateTenant,
  isolateTenant,
  changeDuringStreams,
  changeDuringStreams,
  changeDuringStreams,
];

/** Generates sequences that combine changes of isolation with every other fault. */
export const isolationCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ISOLATION_COMMANDS], { maxCommands: maximum });
