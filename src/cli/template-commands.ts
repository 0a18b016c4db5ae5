/** `peatspan template ...` and `peatspan set`: operators read and edit the configuration. */
import { randomUUID } from 'node:crypto';
import { stringify } from 'yaml';
import type { Argv } from 'yargs';
import { differencesBetween, formatDifferences } from '../operator/template-difference.js';
import {
  type StoredTemplates,
  TemplateStore,
  type WriteOutcome,
} from '../operator/template-store.js';
import { setTenantParameter } from '../operator/tenant-parameter.js';
import { waitUntilInForce } from '../operator/wait-in-force.js';
import { readTemplates } from '../programs/lab-up.js';
import { HttpObjectApiClient } from '../protocol/object-api/http-client.js';
import { SystemClock } from '../runtime/clock.js';
import { SettingsError } from '../settings/settings-error.js';
import type { TemplateSet } from '../state/template-set.js';
import { ExitCode } from './options.js';

type Output = 'json' | 'yaml';

function withStore<T>(yargs: Argv<T>) {
  return yargs
    .option('object-api', {
      type: 'string',
      default: process.env.PEATSPAN_OBJECT_API ?? '127.0.0.1:7400',
      describe: "address of the platform's object API (or PEATSPAN_OBJECT_API)",
    })
    .option('output', {
      alias: 'o',
      choices: ['json', 'yaml'] as const,
      default: 'yaml' as const,
      describe: 'form of what is printed',
    });
}

function withWrite<T>(yargs: Argv<T>) {
  return withStore(yargs)
    .option('expected-version', { type: 'number', describe: 'write only over this version' })
    .option('wait', {
      type: 'array',
      string: true,
      describe: 'operations addresses of routers to wait for until the change is in force',
    });
}

/** Adds the operators' commands. */
export function addTemplateCommands(yargs: Argv): Argv {
  return yargs
    .command('template', 'read and edit the routing templates', (command) =>
      addWriting(addReading(command)).demandCommand(1, 'name a template command'),
    )
    .command(
      'set <tenant> <assignment>',
      'set one parameter of one tenant, as PARAMETER=VALUE',
      (command) =>
        withWrite(command)
          .positional('tenant', { type: 'string', demandOption: true })
          .positional('assignment', { type: 'string', demandOption: true }),
      async (argv) => {
        const store = storeAt(argv.objectApi);
        const present = await store.read();
        if (!present.set) throw new SettingsError('object API', '', 'no valid configuration');
        const verdict = setTenantParameter(present.set, argv.tenant, argv.assignment);
        if (verdict.kind === 'invalid') {
          const [problem] = verdict.problems;
          throw new SettingsError('flags', problem?.path ?? '', problem?.message ?? '');
        }
        const expected = argv.expectedVersion ?? present.version;
        await write(store, verdict.set, expected, present, argv.wait);
      },
    );
}

function addReading(yargs: Argv): Argv {
  return yargs
    .command('list', 'names of templates and tenants', withStore, async (argv) => {
      const { set, version } = await storeAt(argv.objectApi).read();
      const tenants = Object.entries(set?.tenants ?? {}).map(([name, { template }]) => ({
        tenant: name,
        template,
      }));
      print({ version, templates: Object.keys(set?.templates ?? {}), tenants }, argv.output);
    })
    .command('get', 'the whole configuration', withStore, async (argv) => {
      const { set } = await storeAt(argv.objectApi).read();
      print(set ?? {}, argv.output);
    })
    .command(
      'validate <file>',
      'check a file without writing it',
      (command) => command.positional('file', { type: 'string', demandOption: true }),
      (argv) => {
        readTemplates(argv.file);
        process.stdout.write(`${argv.file}: valid\n`);
      },
    );
}

function addWriting(yargs: Argv): Argv {
  return yargs
    .command(
      'diff <file>',
      'what a file would change',
      (command) => withStore(command).positional('file', { type: 'string', demandOption: true }),
      async (argv) => {
        const { set } = await storeAt(argv.objectApi).read();
        const differences = differencesBetween(set, readTemplates(argv.file));
        process.stdout.write(differences.length === 0 ? 'no difference\n' : '');
        if (differences.length > 0) process.stdout.write(`${formatDifferences(differences)}\n`);
      },
    )
    .command(
      'apply <file>',
      'write a file as the new configuration',
      (command) => withWrite(command).positional('file', { type: 'string', demandOption: true }),
      async (argv) => {
        const set = readTemplates(argv.file);
        const store = storeAt(argv.objectApi);
        const present = await store.read();
        const expected = argv.expectedVersion ?? present.version;
        await write(store, set, expected, present, argv.wait);
      },
    );
}

function storeAt(address: string): TemplateStore {
  return new TemplateStore(new HttpObjectApiClient(address), new SystemClock());
}

async function write(
  store: TemplateStore,
  set: TemplateSet,
  expectedVersion: number,
  seen: StoredTemplates,
  wait: readonly string[] | undefined,
): Promise<void> {
  const outcome = await store.write(set, expectedVersion, randomUUID());
  report(outcome, set, seen);
  if (outcome.kind === 'written' && wait) await reportInForce(wait, outcome.version);
}

function report(outcome: WriteOutcome, set: TemplateSet, seen: StoredTemplates): void {
  switch (outcome.kind) {
    case 'written':
      process.stdout.write(`written as version ${outcome.version}\n`);
      break;
    case 'conflict':
      process.stderr.write(
        `conflict: version ${outcome.present.version} was written meanwhile\n` +
          `theirs, against what you saw:\n` +
          `${formatDifferences(differencesBetween(seen.set, outcome.present.set))}\n` +
          `yours:\n${formatDifferences(differencesBetween(seen.set, set))}\n`,
      );
      process.exitCode = ExitCode.Conflict;
      break;
    case 'uncertain':
      process.stderr.write(`uncertain: ${outcome.reason}\n`);
      process.exitCode = ExitCode.Uncertain;
  }
}

async function reportInForce(addresses: readonly string[], version: number): Promise<void> {
  const inForce = await waitUntilInForce(addresses, version, (done) =>
    process.stderr.write(`in force at ${done} of ${addresses.length}\n`),
  );
  if (!inForce) process.exitCode = ExitCode.Failure;
}

function print(value: unknown, output: Output): void {
  const text = output === 'json' ? JSON.stringify(value, undefined, 2) : stringify(value).trimEnd();
  process.stdout.write(`${text}\n`);
}
