/** `npm run bench`: the figures of docs/CAPACITY.md, as ratios and costs of one run. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { benchPlacement } from './placement.js';
import { benchChunks, benchFirstToken } from './relay.js';
import { formatResults } from './result.js';
import { benchState } from './state.js';

const results = [
  ...(await benchState()),
  ...(await benchPlacement()),
  ...(await benchFirstToken()),
  ...(await benchChunks()),
];
process.stdout.write(`${formatResults(results)}\n`);
mkdirSync('out', { recursive: true });
writeFileSync('out/bench.json', `${JSON.stringify(results, undefined, 2)}\n`);
process.exit(0);
