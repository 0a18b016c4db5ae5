/**
 * Builds the routers' program from an earlier commit of this repository, for mixed-version tests.
 * As a script it prints the path of the program: `node dist/soak/earlier-build.js [COMMIT]`.
 */
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));
const DEPLOY_FILE = join(REPOSITORY, 'deploy/system.toml');
const PRODUCTION_COMMIT = /^production = "([0-9a-f]+)"$/m;
const PROGRAM_FILE = 'target/peatspan.cjs';
/** Both commits must lock the same dependencies: the earlier one is built with the installed ones. */
const LOCK_FILE = 'package-lock.json';
/** The entry of this package itself in a lock file, which also repeats the supported range of Node.js. */
const OWN_PACKAGE = '';

/** The commit in production, from which a deployment is upgraded to the current one. */
export function productionCommit(): string {
  const [, commit] = PRODUCTION_COMMIT.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  if (commit === undefined) throw new Error(`${DEPLOY_FILE} contains no production commit`);
  return commit;
}

/** A build in its own directory, which the caller removes. */
export interface EarlierBuild {
  readonly folder: string;
  /** Path of the bundled program. */
  readonly program: string;
}

/**
 * What a lock file says of dependencies: all of it but the range of Node.js that this package itself supports.
 * Two lock files with equal results install the same packages.
 */
export function lockedDependencies(lockFile: string): string {
  const lock = JSON.parse(lockFile) as { packages: Record<string, { engines?: unknown }> };
  delete lock.packages[OWN_PACKAGE]?.engines;
  return JSON.stringify(lock);
}

/** Builds a commit. Throws if the commit is missing or its dependencies differ. */
export function buildCommit(commit: string): EarlierBuild {
  const folder = mkdtempSync(join(tmpdir(), `peatspan-${commit.slice(0, 7)}-`));
  const git = (...args: string[]): Buffer =>
    execFileSync('git', args, { cwd: REPOSITORY, maxBuffer: 512 * 1_024 * 1_024 });
  const earlier = lockedDependencies(git('show', `${commit}:${LOCK_FILE}`).toString());
  const installed = lockedDependencies(readFileSync(join(REPOSITORY, LOCK_FILE), 'utf8'));
  if (earlier !== installed) {
    throw new Error(`dependencies of commit ${commit} differ from the installed ones`);
  }
  const archive = git('archive', commit, 'src', 'platform', 'scripts', 'deploy', 'package.json');
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  symlinkSync(join(REPOSITORY, 'node_modules'), join(folder, 'node_modules'));
  execFileSync(process.execPath, ['scripts/bundle.mjs'], { cwd: folder, stdio: 'ignore' });
  return { folder, program: join(folder, PROGRAM_FILE) };
}

const isMain =
  process.argv[1] !== undefined && resolve(process.argv[1]) === fileURLToPath(import.meta.url);
if (isMain) {
  process.stdout.write(`${buildCommit(process.argv[2] ?? productionCommit()).program}\n`);
}
