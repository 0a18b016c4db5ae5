/** `peatspan template ...` and `peatspan set`: read and edit the routing configuration. */
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

function withStoreOptions<T>(yargs: Argv<T>) {
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
      describe: 'output format',
    });
}

function withWriteOptions<T>(yargs: Argv<T>) {
  return withStoreOptions(yargs)
    .option('expected-version', {
      type: 'number',
      describe: 'fail unless this is the stored version',
    })
    .option('wait', {
      type: 'array',
      string: true,
      describe: 'wait until the change is in force on the routers at these operations addresses',
    });
}

/** Adds the commands that read and edit the configuration. */
export function addTemplateCommands(yargs: Argv): Argv {
  return yargs
    .command('template', 'read and edit the routing templates', (command) =>
      addWriteCommands(addReadCommands(command)).demandCommand(1, 'specify a template command'),
    )
    .command(
      'set <tenant> <assignment>',
      'set a parameter of a tenant, given as PARAMETER=VALUE',
      (command) =>
        withWriteOptions(command)
          .positional('tenant', { type: 'string', demandOption: true })
          .positional('assignment', { type: 'string', demandOption: true }),
      async (argv) => {
        const store = storeAt(argv.objectApi);
        const current = await store.read();
        if (!current.set)
          throw new SettingsError(
            'object API',
            '',
            'the stored configuration is missing or invalid',
          );
        const verdict = setTenantParameter(current.set, argv.tenant, argv.assignment);
        if (verdict.kind === 'invalid') {
          const [problem] = verdict.problems;
          throw new SettingsError('flags', problem?.path ?? '', problem?.message ?? '');
        }
        const expected = argv.expectedVersion ?? current.version;
        await write(store, verdict.set, expected, current, argv.wait);
      },
    );
}

function addReadCommands(yargs: Argv): Argv {
  return yargs
    .command('list', 'list the names of templates and tenants', withStoreOptions, async (argv) => {
      const { set, version } = await storeAt(argv.objectApi).read();
      const tenants = Object.entries(set?.tenants ?? {}).map(([name, { template }]) => ({
        tenant: name,
        template,
      }));
      print({ version, templates: Object.keys(set?.templates ?? {}), tenants }, argv.output);
    })
    .command('get', 'print the complete configuration', withStoreOptions, async (argv) => {
      const { set } = await storeAt(argv.objectApi).read();
      print(set ?? {}, argv.output);
    })
    .command(
      'validate <file>',
      'validate a file without writing it',
      (command) => command.positional('file', { type: 'string', demandOption: true }),
      (argv) => {
        readTemplates(argv.file);
        process.stdout.write(`${argv.file}: valid\n`);
      },
    );
}

function addWriteCommands(yargs: Argv): Argv {
  return yargs
    .command(
      'diff <file>',
      'show what applying a file would change',
      (command) =>
        withStoreOptions(command).positional('file', { type: 'string', demandOption: true }),
      async (argv) => {
        const { set } = await storeAt(argv.objectApi).read();
        const differences = differencesBetween(set, readTemplates(argv.file));
        process.stdout.write(differences.length === 0 ? 'no differences\n' : '');
        if (differences.length > 0) process.stdout.write(`${formatDifferences(differences)}\n`);
      },
    )
    .command(
      'apply <file>',
      'replace the configuration with the contents of a file',
      (command) =>
        withWriteOptions(command).positional('file', { type: 'string', demandOption: true }),
      async (argv) => {
        const set = readTemplates(argv.file);
        const store = storeAt(argv.objectApi);
        const current = await store.read();
        const expected = argv.expectedVersion ?? current.version;
        await write(store, set, expected, current, argv.wait);
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
  base: StoredTemplates,
  wait: readonly string[] | undefined,
): Promise<void> {
  const outcome = await store.write(set, expectedVersion, randomUUID());
  reportOutcome(outcome, set, base);
  if (outcome.kind === 'written' && wait) await reportInForce(wait, outcome.version);
}

function reportOutcome(outcome: WriteOutcome, set: TemplateSet, base: StoredTemplates): void {
  switch (outcome.kind) {
    case 'written':
      process.stdout.write(`written as version ${outcome.version}\n`);
      break;
    case 'conflict':
      process.stderr.write(
        `conflict: version ${outcome.current.version} has been written in the meantime\n` +
          `their changes:\n` +
          `${formatDifferences(differencesBetween(base.set, outcome.current.set))}\n` +
          `your changes:\n${formatDifferences(differencesBetween(base.set, set))}\n`,
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
    process.stderr.write(`in force on ${done} of ${addresses.length} routers\n`),
  );
  if (!inForce) process.exitCode = ExitCode.Failure;
}

function print(value: unknown, output: Output): void {
  const text = output === 'json' ? JSON.stringify(value, undefined, 2) : stringify(value).trimEnd();
  process.stdout.write(`${text}\n`);
}
