/** `npm run bench`: measures the costs that docs/CAPACITY.md lists and writes `out/bench.json`. */
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
