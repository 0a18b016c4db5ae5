/** Reads one figure of a daemon's metrics page. */

/** The figure; NaN where the page has none of that name. Rejects where the page can't be had. */
export async function readMetric(address: string, name: string): Promise<number> {
  const page = await (await fetch(`http://${address}/metrics`)).text();
  const line = page.split('\n').find((each) => each.startsWith(`${name} `));
  return Number(line?.slice(name.length));
}
