/** Reads one metric from the metrics page of a daemon. */

/**
 * Returns the value; NaN if the page doesn't have the metric. Rejects if the page can't be fetched.
 */
export async function readMetric(address: string, name: string): Promise<number> {
  const page = await (await fetch(`http://${address}/metrics`)).text();
  const line = page.split('\n').find((each) => each.startsWith(`${name} `));
  return Number(line?.slice(name.length));
}
