/** Splits a configuration into document sections, one for each entry, and joins them again. */
import type { TemplateSet } from './template-set.js';

const SECTION_KINDS = ['models', 'services', 'templates', 'tenants'] as const;

/** Returns one section for each model, service, template and tenant, named `kind/name`. */
export function splitTemplateSet(set: TemplateSet): Map<string, string> {
  const sections = new Map<string, string>();
  for (const kind of SECTION_KINDS) {
    for (const [name, entry] of Object.entries(set[kind])) {
      sections.set(`${kind}/${name}`, JSON.stringify(entry));
    }
  }
  return sections;
}

/** Returns the configuration as an unvalidated object. */
export function joinTemplateSet(sections: ReadonlyMap<string, string>): unknown {
  const set: Record<(typeof SECTION_KINDS)[number], Record<string, unknown>> = {
    models: {},
    services: {},
    templates: {},
    tenants: {},
  };
  for (const [sectionName, content] of sections) {
    const separator = sectionName.indexOf('/');
    const kind = SECTION_KINDS.find((candidate) => candidate === sectionName.slice(0, separator));
    if (kind) set[kind][sectionName.slice(separator + 1)] = JSON.parse(content);
  }
  return set;
}
