/** Guards against a start script that fails with a missing or invalid code cache. */
import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';

const START_SCRIPT = 'scripts/start-from-code-cache.cjs';
const PROGRAM =
  "process.stdout.write(['runs', typeof require, __filename.endsWith('router.cjs')].join(' '));";

/** Receives SIGHUP before it installs its own handler, like a router during startup. */
const RELOADED_PROGRAM =
  "process.kill(process.pid, 'SIGHUP'); setTimeout(() => process.stdout.write('runs on'), 50);";

/** Creates a folder with the start script and a small program in place of the router. */
function bundleFolder(program = PROGRAM): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'peatspan-start-'));
  copyFileSync(START_SCRIPT, path.join(folder, 'peatspan.cjs'));
  writeFileSync(path.join(folder, 'router.cjs'), program);
  return folder;
}

function start(folder: string, ...words: string[]): string {
  const result = spawnSync(process.execPath, [path.join(folder, 'peatspan.cjs'), ...words]);
  return `${result.stdout.toString()}${result.stderr.toString()}`;
}

test('the program runs with a valid, a missing and an invalid code cache', (t) => {
  const folder = bundleFolder();
  t.teardown(() => rmSync(folder, { recursive: true }));
  const cache = path.join(folder, 'router.cache');
  const expected = 'runs function true';
  t.is(start(folder), expected);
  t.false(existsSync(cache));
  t.is(start(folder, '--write-code-cache'), expected);
  t.true(existsSync(cache));
  t.is(start(folder), expected);
  writeFileSync(cache, 'no compiled code');
  t.is(start(folder), expected);
});

test('a settings reload does not terminate a program that is still starting', (t) => {
  const folder = bundleFolder(RELOADED_PROGRAM);
  t.teardown(() => rmSync(folder, { recursive: true }));
  t.is(start(folder), 'runs on');
});
