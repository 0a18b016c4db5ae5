/** Which mechanisms of load sharing are enabled on a router. */

/**
 * A mechanism that an operator can switch off. Without it, routers decide as if it had learned
 * nothing.
 */
export enum LoadSharingFeature {
  /** Learned speeds of engines. */
  EngineSpeeds = 'engine-speeds',
  /** Placement by the gaps in the streams of an engine and by its capacity. */
  GapPlacement = 'gap-placement',
  /** Queue of requests that wait for capacity in the router. */
  RequestQueue = 'request-queue',
  /** Exchange of the prompts that engines have read. */
  PrefixReads = 'prefix-reads',
  /** Fair shares of tenants while capacity is short. */
  TenantShares = 'tenant-shares',
  /** Byte budget of slow readers. */
  MemoryBudget = 'memory-budget',
}

/** Features that an operator has switched off. */
export type DisabledFeatures = ReadonlySet<LoadSharingFeature>;

/** Parses a comma-separated list of features; throws a `RangeError` that names an unknown one. */
export function parseDisabledFeatures(text: string): DisabledFeatures {
  const names = text.split(',').map((name) => name.trim());
  return new Set(names.filter((name) => name !== '').map(featureOf));
}

function featureOf(name: string): LoadSharingFeature {
  const features: readonly string[] = Object.values(LoadSharingFeature);
  if (!features.includes(name)) {
    throw new RangeError(`${name}: expected one of ${features.join(', ')}`);
  }
  return name as LoadSharingFeature;
}
