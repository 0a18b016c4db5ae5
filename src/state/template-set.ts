/**
 * The configuration operators edit: models, services, routing templates and tenants.
 * Schema of the YAML files (docs/OPERATORS.md, "Templates") and of the stored object.
 */
import { z } from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;

const name = z.string().regex(NAME_PATTERN, 'expected lower-case letters, digits, ".", "_" or "-"');
const share = z.number().min(0).max(1);

/** One version of a model's weights. */
const modelVersionSchema = z.strictObject({
  /** Digest of the weights; kept cache is bound to it. */
  weights_digest: z.string().min(1),
  /** Digest of the adapter on top of them. */
  adapter_digest: z.string().default(''),
});

/** A model and its versions. */
const modelSchema = z.strictObject({
  versions: z.record(name, modelVersionSchema),
});

/** One operation of a plain service. */
const operationSchema = z.strictObject({
  /** True: may run more than once, so it may be retried and hedged. */
  repeatable: z.boolean(),
  /** Send a second attempt where the first is slow. Only for repeatable operations. */
  hedged: z.boolean().default(false),
});

/** A plain service: lookups and writes. */
const serviceSchema = z.strictObject({
  operations: z.record(name, operationSchema),
});

/** Parameters that a template sets and a tenant may override. */
const parametersSchema = z.strictObject({
  /** Models the tenant may use, each with the version in force. */
  models: z.record(name, name),
  /** Plain services the tenant may call. */
  services: z.array(name),
  /** Tokens of kept prefix the tenant may lean on over all engines. */
  prefix_budget_tokens: z.number().int().min(0),
  /** Share of the tenant's work for each site; sums to 1. */
  site_shares: z.record(name, share),
  /** Higher goes first at engines. */
  priority: z.number().int().min(-10).max(10),
  /** 0: only the wait for the first token counts; 1: only recomputation counts. */
  recompute_weight: share,
  /** Requests of the tenant that may run at once through one router. */
  maximum_concurrent: z.number().int().min(1),
  /** Retries allowed as a share of requests. */
  retry_share: share,
});

/** A named set of parameters. */
const templateSchema = parametersSchema;

/** A caller's key, kept only as a hash. */
const keySchema = z.strictObject({
  sha256: z.string().regex(SHA256_PATTERN, 'expected 64 hexadecimal digits'),
});

const MAXIMUM_KEYS = 2;

/** A tenant: its template, its keys (two while one replaces the other) and its overrides. */
const tenantSchema = z.strictObject({
  template: name,
  keys: z.array(keySchema).min(1).max(MAXIMUM_KEYS),
  parameters: parametersSchema.partial().default({}),
});

/** The whole configuration. */
export const templateSetSchema = z.strictObject({
  models: z.record(name, modelSchema),
  services: z.record(name, serviceSchema).default({}),
  templates: z.record(name, templateSchema),
  tenants: z.record(name, tenantSchema),
});

export type TemplateSet = z.infer<typeof templateSetSchema>;
export type TenantParameters = z.infer<typeof parametersSchema>;
export type ModelVersion = z.infer<typeof modelVersionSchema>;
export type OperationPolicy = z.infer<typeof operationSchema>;

/** A fault in a configuration: where, and what was expected. */
export interface TemplateProblem {
  /** Path in the document, parts joined by dots. */
  readonly path: string;
  readonly message: string;
}

/** A checked configuration, or all its faults. */
export type TemplateVerdict =
  | { readonly kind: 'valid'; readonly set: TemplateSet }
  | { readonly kind: 'invalid'; readonly problems: readonly TemplateProblem[] };

const SHARE_TOLERANCE = 0.001;

/** Checks shape and references of a configuration. */
export function checkTemplateSet(value: unknown): TemplateVerdict {
  const parsed = templateSetSchema.safeParse(value);
  if (!parsed.success) {
    const problems = parsed.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    return { kind: 'invalid', problems };
  }
  const problems = checkReferences(parsed.data);
  if (problems.length > 0) return { kind: 'invalid', problems };
  return { kind: 'valid', set: parsed.data };
}

function checkReferences(set: TemplateSet): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  for (const [templateName, template] of Object.entries(set.templates)) {
    problems.push(...checkParameters(set, `templates.${templateName}`, template));
  }
  for (const [tenantName, tenant] of Object.entries(set.tenants)) {
    const path = `tenants.${tenantName}`;
    if (!set.templates[tenant.template]) {
      problems.push({
        path: `${path}.template`,
        message: `no template named "${tenant.template}"`,
      });
    }
    problems.push(...checkParameters(set, `${path}.parameters`, tenant.parameters));
  }
  problems.push(...checkSharedKeys(set));
  return problems;
}

type GivenParameters = TemplateSet['tenants'][string]['parameters'];

function checkParameters(
  set: TemplateSet,
  path: string,
  parameters: GivenParameters,
): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  for (const [modelName, version] of Object.entries(parameters.models ?? {})) {
    if (set.models[modelName]?.versions[version]) continue;
    problems.push({
      path: `${path}.models.${modelName}`,
      message: `no version "${version}" of model "${modelName}"`,
    });
  }
  for (const service of parameters.services ?? []) {
    if (set.services[service]) continue;
    problems.push({ path: `${path}.services`, message: `no service named "${service}"` });
  }
  const shares = Object.values(parameters.site_shares ?? { all: 1 });
  const sum = shares.reduce((total, value) => total + value, 0);
  if (Math.abs(sum - 1) > SHARE_TOLERANCE) {
    problems.push({ path: `${path}.site_shares`, message: `shares sum to ${sum}, expected 1` });
  }
  return problems;
}

function checkSharedKeys(set: TemplateSet): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  const holders = new Map<string, string>();
  for (const [tenantName, tenant] of Object.entries(set.tenants)) {
    for (const key of tenant.keys) {
      const holder = holders.get(key.sha256);
      if (holder !== undefined && holder !== tenantName) {
        problems.push({
          path: `tenants.${tenantName}.keys`,
          message: `key belongs to tenant "${holder}" too`,
        });
      }
      holders.set(key.sha256, tenantName);
    }
  }
  return problems;
}

/** Parameters in force for a tenant: its template's, overridden by its own. */
export function resolveParameters(set: TemplateSet, tenant: string): TenantParameters | undefined {
  const entry = set.tenants[tenant];
  const template = entry && set.templates[entry.template];
  if (!template) return undefined;
  const overrides = Object.entries(entry.parameters).filter(([, value]) => value !== undefined);
  return { ...template, ...Object.fromEntries(overrides) };
}
