/** Reads YAML, of which JSON is a part, that people wrote. */
import { parseDocument } from 'yaml';

/** The content of a text, or why it has none. */
export type ParsedYaml = { readonly content: unknown } | { readonly reason: string };

/** An empty text is an empty mapping. */
export function parseYaml(text: string): ParsedYaml {
  const document = parseDocument(text);
  const [syntaxError] = document.errors;
  if (syntaxError !== undefined) return { reason: syntaxError.message };
  try {
    return { content: (document.toJS() ?? {}) as unknown };
  } catch (error) {
    // The library resolves aliases here, and refuses those that would blow the content up.
    return { reason: error instanceof Error ? error.message : String(error) };
  }
}
