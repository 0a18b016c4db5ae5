/** Runs one case: sets the deployment up, plays, reports and ends all processes. */
import console from 'node:console';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Deployment, Recorder } from './deployment.mjs';
import { Store } from './store.mjs';

const LIMIT_MS = 110_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** With `TROUBLE=0` a case does the same without the disruption. */
export const isDisrupted = process.env.TROUBLE !== '0';

function limit() {
  let timer;
  const expired = new Promise((_, reject) => {
    timer = setTimeout(() => reject(new Error('took too long')), LIMIT_MS);
  });
  return { expired, cancel: () => clearTimeout(timer) };
}

/**
 * Runs a case and exits: with 1 if its rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param moduleUrl the case's `import.meta.url`; `record.txt` is written beside that file
 * @param createEngines returns the engines, given a store and a function that records an entry
 * @param play plays the case with { recorder, store, deployment, engines }; resolves with the breaks
 *   of the rule that count, which are recorded, and a line about them
 */
export async function runCase(moduleUrl, { createEngines, play }) {
  const recorder = new Recorder(join(dirname(fileURLToPath(moduleUrl)), 'record.txt'));
  const store = new Store();
  const deployment = new Deployment(recorder);
  const engines = createEngines(store, (entry) => recorder.note(entry));
  const { expired, cancel } = limit();
  let status = EXIT_NOT_RUN;
  try {
    const playing = play({ recorder, store, deployment, engines });
    const { breaks, line } = await Promise.race([playing, expired]);
    for (const each of breaks) recorder.note({ what: 'RULE BROKEN', ...each });
    console.log(line);
    status = breaks.length > 0 ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    recorder.note({ what: 'could not run', reason: String(error) });
    console.log(`could not run: ${error.message}`);
  } finally {
    cancel();
    await deployment.stop();
    for (const each of [...engines, store]) each.stop();
    await recorder.close();
  }
  process.exit(status);
}
