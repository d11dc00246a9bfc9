import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { describe, expect, it } from 'vitest';

const ROOT_PAGES = ['README.md', 'CONTRIBUTING.md', 'CHANGELOG.md'];
const INDEX = join('docs', 'README.md');
const PAGES = readdirSync('docs', { recursive: true, encoding: 'utf8' })
  .filter((file) => file.endsWith('.md'))
  .map((file) => join('docs', file));

/** Files that a page links to, from the root. */
function linkedFiles(page: string): string[] {
  const text = readFileSync(page, 'utf8');
  const targets = [...text.matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)].map(([, target]) => target);
  return targets
    .filter((target) => target !== undefined && !/^[a-z]+:/.test(target))
    .map((target) => normalize(join(dirname(page), target ?? '')));
}

describe('documentation', () => {
  it.each([...ROOT_PAGES, ...PAGES])('%s links to files that exist', (page) => {
    expect(linkedFiles(page).filter((file) => !existsSync(file))).toEqual([]);
  });

  it('lists every page in its index', () => {
    const listed = linkedFiles(INDEX);
    const missing = PAGES.filter((page) => page !== INDEX && !listed.includes(page));
    expect(missing).toEqual([]);
  });
});
