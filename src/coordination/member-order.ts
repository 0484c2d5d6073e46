/**
 * Random orders over members. Probing in a shuffled order bounds the time
 * until any one member is probed, which independent random picks would not.
 */

/** Picks some of the items, each at most once, in random order. */
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

/** Gives node ids one by one, each once in every round. */
export class ProbeOrder {
  private round: string[] = [];

  constructor(private readonly random: () => number) {}

  /** Takes the next of the nodes that are there now. */
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
