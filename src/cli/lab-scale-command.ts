/** `peatspan lab scale`: simulates a large group of routers on a virtual clock. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { Argv } from 'yargs';
import { type RecoveryResult, type ScaleResult, runScale } from '../lab/scale/scale-run.js';

/** Adds the command `lab scale`. */
export function addScaleCommand(yargs: Argv): Argv {
  return yargs.command(
    'scale',
    'simulate a large group of routers on a virtual clock and measure its costs',
    (command) =>
      command
        .option('nodes', { type: 'number', default: 48, describe: 'number of routers' })
        .option('engines', { type: 'number', default: 90, describe: 'number of engines' })
        .option('tenants', { type: 'number', default: 850 })
        .option('events', {
          type: 'number',
          default: 384,
          describe: 'cache events per engine and second',
        })
        .option('blocks', { type: 'number', default: 26_000, describe: 'cached blocks per engine' })
        .option('loss', {
          type: 'number',
          default: 0.05,
          describe: 'share of datagrams that are lost',
        })
        .option('simulated-minutes', {
          type: 'number',
          default: 1,
          describe: 'length of the steady phase',
        })
        .option('recovery', {
          type: 'boolean',
          default: true,
          describe:
            'also measure recovery from failures; --no-recovery ends after the configuration phase',
        })
        .option('seed', { type: 'number', default: 1 })
        .option('out', { type: 'string', describe: 'directory for scale-NODES.json' }),
    async (argv) => {
      const startedMs = performance.now();
      const size = {
        nodes: argv.nodes,
        engines: argv.engines,
        tenants: argv.tenants,
        eventsPerEngineSecond: argv.events,
        keptBlocksPerEngine: argv.blocks,
        datagramLoss: argv.loss,
        seed: argv.seed,
      };
      const SECONDS_PER_MINUTE = 60;
      const steadySeconds = argv.simulatedMinutes * SECONDS_PER_MINUTE;
      const figures = await runScale(size, steadySeconds, argv.recovery, (phase) => {
        const seconds = ((performance.now() - startedMs) / 1_000).toFixed(0);
        process.stderr.write(`${seconds} s: ${phase}\n`);
      });
      process.stdout.write(`${formatFigures(figures)}\n`);
      if (argv.out !== undefined) {
        mkdirSync(argv.out, { recursive: true });
        const file = path.join(argv.out, `scale-${argv.nodes}.json`);
        writeFileSync(file, `${JSON.stringify(figures, undefined, 2)}\n`);
      }
    },
  );
}

function formatFigures(figures: ScaleResult): string {
  const { size, steady, inForceSeconds, recovery } = figures;
  const nodeSeconds = size.nodes * steady.seconds;
  const kinds = steady.byKind.map(([kind, { bytes, messages }]) => {
    const bytesPerSecond = (bytes / nodeSeconds).toFixed(0);
    return `  ${kind.padEnd(18)} ${bytesPerSecond} B/s in ${(messages / nodeSeconds).toFixed(2)}/s`;
  });
  const PERCENT = 100;
  return [
    `${size.nodes} nodes, ${size.engines} engines, ${size.datagramLoss * PERCENT} % loss`,
    `join                        ${figures.joinSeconds.toFixed(1)} s`,
    `sent per node               ${steady.bytesPerNodeSecond.toFixed(0)} B/s`,
    ...kinds,
    `processor per node          ${(steady.processorShare * PERCENT).toFixed(3)} % of a core, simulator included`,
    `heap per node               ${steady.heapMegabytesPerNode.toFixed(2)} MB`,
    `false suspicions, deaths    ${steady.falseSuspicions}, ${steady.falseDeaths} in ${steady.seconds} s`,
    `open watches at the API     ${steady.openWatches}`,
    `configuration in force      p50 ${inForceSeconds.p50.toFixed(2)} s, p99 ${inForceSeconds.p99.toFixed(2)} s, worst ${inForceSeconds.worst.toFixed(2)} s`,
    ...(recovery ? formatRecovery(recovery) : ['failures and recovery       not run']),
  ].join('\n');
}

function formatRecovery(recovery: RecoveryResult): string[] {
  return [
    `crash detected by all       ${recovery.detectSeconds.toFixed(1)} s`,
    `half restarted: ready       ${recovery.herdReadySeconds.toFixed(1)} s, full view ${recovery.herdViewSeconds.toFixed(1)} s`,
    `120 s partition: healed     ${recovery.regionHealSeconds.toFixed(1)} s`,
    `restart without object API  ${recovery.restartWithoutApiSeconds.toFixed(1)} s`,
  ];
}
