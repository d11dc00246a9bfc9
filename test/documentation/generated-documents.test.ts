import { readFile } from 'node:fs/promises';
import { format, resolveConfig } from 'prettier';
import { describe, expect, it } from 'vitest';
import { GENERATED_DOCUMENTS } from '../../lab/documentation/generated-documents.js';

describe('documents made from the code', () => {
  it.each(GENERATED_DOCUMENTS)('$path is current; `npm run docs` writes it', async (document) => {
    const options = await resolveConfig(document.path);
    const expected = await format(await document.write(), { ...options, filepath: document.path });
    expect(await readFile(document.path, 'utf8')).toBe(expected);
  });
});
