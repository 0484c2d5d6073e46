/**
 * The verdict on a request says whether it may have run on an upstream. Every
 * internal error, answer and refusal has a verdict, because it alone decides
 * whether a retry is safe.
 */

/** What is known about whether a request ran. */
export const Verdict = {
  /** No upstream has run the request or ever will run this attempt. */
  NOT_RUN: 'not-run',
  /** The request may have run, may be running, or may still run. */
  MAY_HAVE_RUN: 'may-have-run',
  /** An upstream ran the request and its answer is known. */
  RAN: 'ran',
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

const VERDICTS = new Set<string>(Object.values(Verdict));

/** Reads a verdict from a header value; undefined if it is invalid. */
export function readVerdict(text: string | undefined): Verdict | undefined {
  return text !== undefined && VERDICTS.has(text)
    ? (text as Verdict)
    : undefined;
}
