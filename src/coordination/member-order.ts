/**
 * Random selection and shuffled probe order. A shuffled round-robin order
 * bounds the time until each member is probed, which independent random picks
 * would not.
 */

/** Picks up to `count` distinct items in random order. */
export function pickRandom<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const rest = [...items];
  const picked: T[] = [];
  while (picked.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    picked.push(rest[index]!);
    rest[index] = rest[rest.length - 1]!;
    rest.pop();
  }
  return picked;
}

/** Shuffled round-robin over node ids: each is returned once per round. */
export class ProbeOrder {
  private round: string[] = [];

  constructor(private readonly random: () => number) {}

  /** Takes the next node id that is in the given set. */
  takeNext(nodeIds: ReadonlySet<string>): string | undefined {
    if (nodeIds.size === 0) return undefined;
    for (;;) {
      if (this.round.length === 0) {
        this.round = pickRandom([...nodeIds], nodeIds.size, this.random);
      }
      const next = this.round.pop()!;
      if (nodeIds.has(next)) return next;
    }
  }
}
