/** Notes what must never differ: who leads a term, and what is applied at an index. */
export class SafetyWatch {
  readonly violations: string[] = [];
  private readonly applied = new Map<number, string>();
  private readonly leaders = new Map<number, string>();

  noteApplied(id: string, index: number, command: string): void {
    const known = this.applied.get(index);
    if (known === undefined) this.applied.set(index, command);
    else if (known !== command) {
      this.violations.push(`${id} applied "${command}" at ${index}, others "${known}"`);
    }
  }

  noteLeader(id: string, term: number): void {
    const known = this.leaders.get(term);
    if (known !== undefined && known !== id) {
      this.violations.push(`${known} and ${id} both lead term ${term}`);
    }
    this.leaders.set(term, id);
  }
}
