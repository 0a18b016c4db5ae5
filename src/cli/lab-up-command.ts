/** `peatspan lab up`: runs a complete deployment in one process, with sample traffic. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Argv } from 'yargs';
import { generateLoad } from '../lab/load/load-generator.js';
import { formatSummary } from '../lab/load/measurements.js';
import { Workload } from '../lab/load/workload.js';
import {
  type DeploymentFolder,
  type RunningDeployment,
  readDeployment,
  startDeployment,
} from '../programs/lab-up.js';
import { profileOf } from '../programs/sample-profile.js';
import { stopOnSignal } from '../programs/lifecycle.js';
import { SeededRandom } from '../runtime/random.js';
import { ConsoleLogger, type LogLevel } from '../telemetry/console-logger.js';
import { ExitCode } from './options.js';

const DEFAULT_EXAMPLE = fileURLToPath(new URL('../../../examples/guild', import.meta.url));

/** Adds the command `lab up`. */
export function addUpCommand(yargs: Argv): Argv {
  return yargs.command(
    'up [folder]',
    'run a complete deployment in one process, with sample traffic',
    (command) =>
      command
        .positional('folder', {
          type: 'string',
          default: DEFAULT_EXAMPLE,
          defaultDescription: 'examples/guild',
          describe: 'directory with deployment.yaml and templates.yaml',
        })
        .option('once', {
          type: 'boolean',
          default: false,
          describe: 'exit after the sample traffic',
        })
        .option('port', { type: 'number', describe: "port of the first agent's caller API" })
        .option('requests', { type: 'number', describe: 'number of sample requests' })
        .option('seed', { type: 'number', default: 1, describe: 'seed of the sample traffic' })
        .option('log-level', {
          type: 'string',
          choices: ['debug', 'info', 'warn', 'error', 'silent'] as const,
          default: 'warn' as const,
        }),
    async (argv) => {
      const folder = readDeployment(path.resolve(argv.folder));
      const deployment = await startDeployment(folder, {
        logLevel: argv.logLevel as LogLevel,
        agentPort: argv.port,
        anyPorts: false,
      });
      const stop = (): Promise<void> => deployment.stop();
      stopOnSignal(new ConsoleLogger(argv.logLevel as LogLevel, 'lab'), stop);
      print(describeDeployment(folder, deployment));
      const errors = await runSample(folder, deployment, argv.requests, argv.seed);
      if (argv.once) {
        await stop();
        process.exit(errors === 0 ? ExitCode.Success : ExitCode.Failure);
      }
      print(`\nServing. Try:\n\n${curlLine(folder, deployment)}\n\nPress Ctrl-C to stop.`);
    },
  );
}

async function runSample(
  folder: DeploymentFolder,
  deployment: RunningDeployment,
  requests: number | undefined,
  seed: number,
): Promise<number> {
  const { sample } = folder.deployment;
  const count = requests ?? sample.requests;
  const workload = new Workload(sample.callers.map(profileOf), new SeededRandom(seed));
  print(`sample: ${count} requests, ${sample.concurrency} concurrently ...`);
  const address = deployment.agents[0]?.callerApi.address ?? '';
  const measurements = await generateLoad(
    address,
    workload,
    count,
    sample.concurrency,
    () => undefined,
  );
  const summary = measurements.summary();
  print(formatSummary(summary));
  return summary.errors;
}

function describeDeployment(folder: DeploymentFolder, deployment: RunningDeployment): string {
  const { name, engines, backends } = folder.deployment;
  const routers = deployment.routers.map(({ node }) => node.peerAddress).join(', ');
  const agents = deployment.agents.map(({ callerApi }) => callerApi.address).join(', ');
  return [
    `${name}: ${engines.length} engines, ${backends.length} back ends`,
    `routers  ${routers}`,
    `agents   ${agents}`,
  ].join('\n');
}

function curlLine(folder: DeploymentFolder, deployment: RunningDeployment): string {
  const [caller] = folder.deployment.sample.callers;
  const address = deployment.agents[0]?.callerApi.address ?? '';
  const body = JSON.stringify({
    model: caller?.model,
    messages: [{ role: 'user', content: 'Is the flag safe to release?' }],
    stream: true,
    max_tokens: 16,
  });
  return [
    `curl -N http://${address}/v1/chat/completions`,
    `-H 'Authorization: Bearer ${caller?.key ?? ''}'`,
    `-H 'Content-Type: application/json'`,
    `-d '${body}'`,
  ].join(' ');
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
