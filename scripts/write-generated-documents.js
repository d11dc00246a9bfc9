/** Writes the pages that are made from the code; run after a build. */
import { writeFile } from 'node:fs/promises';
import { format, resolveConfig } from 'prettier';
import { GENERATED_DOCUMENTS } from '../dist/lab/documentation/generated-documents.js';

for (const { path, write } of GENERATED_DOCUMENTS) {
  const options = await resolveConfig(path);
  await writeFile(path, await format(await write(), { ...options, filepath: path }));
  process.stdout.write(`wrote ${path}\n`);
}
