/** Sets a parameter of a tenant, for `peatspan set TENANT PARAMETER=VALUE`. */
import { parse } from 'yaml';
import { type TemplateSet, type TemplateVerdict, checkTemplateSet } from '../state/template-set.js';

/** Returns the changed configuration, or the problems found in it. */
export function setTenantParameter(
  set: TemplateSet,
  tenant: string,
  assignment: string,
): TemplateVerdict {
  const separator = assignment.indexOf('=');
  if (separator < 1) return invalid(assignment, 'expected PARAMETER=VALUE');
  if (!set.tenants[tenant]) return invalid(`tenants.${tenant}`, 'tenant does not exist');
  const name = assignment.slice(0, separator);
  const changed = structuredClone(set) as unknown as {
    tenants: Record<string, { parameters: Record<string, unknown> }>;
  };
  const entry = changed.tenants[tenant];
  if (entry) entry.parameters[name] = parse(assignment.slice(separator + 1)) as unknown;
  return checkTemplateSet(changed);
}

function invalid(path: string, message: string): TemplateVerdict {
  return { kind: 'invalid', problems: [{ path, message }] };
}
