/**
 * `npm run bench:group -- [ROUTERS...]`: processor time per router, by mechanism and group size.
 * Garbage collection covers the whole simulation.
 */
import { createHasher } from '../src/runtime/hasher.js';
import { GroupDeployment } from './group-deployment.js';
import { profileMechanisms } from './mechanism-profile.js';

const DEFAULT_SIZES = [24, 79, 195, 300];
const WARM_UP_MS = 2_000;
const MEASURED_MS = 4_000;
const MS_PER_SECOND = 1_000;
const REQUESTS_PER_ROUTER_AND_SECOND = 3;
const MICROSECONDS_PER_MS = 1_000;
const NAME_WIDTH = 18;
const FIGURE_WIDTH = 10;

/** Microseconds per router and second, by mechanism, and datagrams sent per router and second. */
async function measure(routers: number): Promise<Map<string, number>> {
  const deployment = await GroupDeployment.start(routers, await createHasher());
  const perSecond = routers * REQUESTS_PER_ROUTER_AND_SECOND;
  await deployment.sendTraffic(WARM_UP_MS, perSecond);
  const datagramsBefore = deployment.sentDatagrams;
  const times = await profileMechanisms(() => deployment.sendTraffic(MEASURED_MS, perSecond));
  const routerSeconds = (routers * MEASURED_MS) / MS_PER_SECOND;
  const figures = new Map<string, number>();
  let ownCodeMs = 0;
  for (const [mechanism, spentMs] of times) {
    if (mechanism !== 'simulation' && mechanism !== 'garbage') ownCodeMs += spentMs;
    figures.set(mechanism, (spentMs * MICROSECONDS_PER_MS) / routerSeconds);
  }
  figures.set('own code', (ownCodeMs * MICROSECONDS_PER_MS) / routerSeconds);
  figures.set('datagrams', (deployment.sentDatagrams - datagramsBefore) / routerSeconds);
  deployment.stop();
  return figures;
}

function formatRow(cells: readonly string[]): string {
  const [name = '', ...rest] = cells;
  return name.padEnd(NAME_WIDTH) + rest.map((cell) => cell.padStart(FIGURE_WIDTH)).join('');
}

const requestedSizes = process.argv.slice(2).map(Number);
const sizes = requestedSizes.length > 0 ? requestedSizes : DEFAULT_SIZES;
const columns: Map<string, number>[] = [];
for (const routers of sizes) columns.push(await measure(routers));
const mechanisms = new Set(columns.flatMap((column) => [...column.keys()]));
const last = columns.at(-1);
const ordered = [...mechanisms].sort(
  (left, right) => (last?.get(right) ?? 0) - (last?.get(left) ?? 0),
);
process.stdout.write(`${formatRow(['us/s per router', ...sizes.map(String)])}\n`);
for (const name of ordered) {
  const cells = columns.map((column) => String(Math.round(column.get(name) ?? 0)));
  process.stdout.write(`${formatRow([name, ...cells])}\n`);
}
process.exit(0);
