/**
 * Bundles the program that the platform starts. `target/router.cjs` is the program,
 * `target/router.cache` its V8 code cache, and `target/peatspan.cjs` starts the program with that
 * cache, which shortens the start.
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync, readFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const PROGRAM = 'target/router.cjs';
const CODE_CACHE = 'target/router.cache';
const STARTER = 'target/peatspan.cjs';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: PROGRAM,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
});
copyFileSync('scripts/start-from-code-cache.cjs', STARTER);
rmSync(CODE_CACHE, { force: true });
// V8 accepts a code cache only in a process with the same V8 options.
const deployment = readFileSync('deploy/system.toml', 'utf8');
const options = /^run = "node (.*) target\/peatspan\.cjs"$/m.exec(deployment)?.[1] ?? '';
// Without valid settings the program exits after loading, and the cache is written on exit.
spawnSync(
  process.execPath,
  [...options.split(' ').filter(Boolean), STARTER, '--write-code-cache'],
  {
    env: { ...process.env, PEATSPAN_BOOT: 'no settings: only the code cache is wanted' },
    stdio: 'ignore',
  },
);
if (!existsSync(CODE_CACHE))
  console.warn(`${CODE_CACHE} was not written; the program will start more slowly`);
