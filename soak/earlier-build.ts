/**
 * Builds the routers' program of an earlier commit from this repository's history, to run it beside the present one.
 * Run by itself it prints the program's file: `node dist/soak/earlier-build.js [COMMIT]`.
 */
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));
const DEPLOY_FILE = join(REPOSITORY, 'deploy/system.toml');
const PRODUCTION = /^production = "([0-9a-f]+)"$/m;
const PROGRAM = 'target/peatspan.cjs';
/** Both commits must need the same libraries: the earlier one is built with those that are installed. */
const LOCK_FILE = 'package-lock.json';

/** The commit with which a deployment begins that is upgraded to the present one. */
export function productionCommit(): string {
  const [, commit] = PRODUCTION.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  if (commit === undefined) throw new Error(`${DEPLOY_FILE} names no production commit`);
  return commit;
}

/** A build in a folder of its own, which whoever asked for it removes. */
export interface EarlierBuild {
  readonly folder: string;
  /** The program's file. */
  readonly program: string;
}

/** Builds a commit; throws where the history lacks it, or it needs other libraries. */
export function buildEarlier(commit: string): EarlierBuild {
  const folder = mkdtempSync(join(tmpdir(), `peatspan-${commit.slice(0, 7)}-`));
  const git = (...args: string[]): Buffer =>
    execFileSync('git', args, { cwd: REPOSITORY, maxBuffer: 512 * 1_024 * 1_024 });
  const lockFile = git('show', `${commit}:${LOCK_FILE}`);
  if (!lockFile.equals(readFileSync(join(REPOSITORY, LOCK_FILE)))) {
    throw new Error(`commit ${commit} needs other libraries than those that are installed`);
  }
  const archive = git('archive', commit, 'src', 'platform', 'scripts', 'deploy', 'package.json');
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  symlinkSync(join(REPOSITORY, 'node_modules'), join(folder, 'node_modules'));
  execFileSync(process.execPath, ['scripts/bundle.mjs'], { cwd: folder, stdio: 'ignore' });
  return { folder, program: join(folder, PROGRAM) };
}

const isMain =
  process.argv[1] !== undefined && resolve(process.argv[1]) === fileURLToPath(import.meta.url);
if (isMain) {
  process.stdout.write(`${buildEarlier(process.argv[2] ?? productionCommit()).program}\n`);
}
