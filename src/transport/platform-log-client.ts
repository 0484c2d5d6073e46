/**
 * HTTP client of the platform's log. A failed append may have taken effect, so
 * the client searches the log for the record's id before it retries. If a
 * record is appended twice all the same, folding applies it once.
 */
import {Agent, request} from 'undici';
import * as z from 'zod';
import {Backoff} from '../protocol/backoff.js';
import type {LogPage, PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LoggedRecord, LogRecord} from '../protocol/records.js';

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
const STATUS_OK = 200;
/** Statuses with which the log refuses an append before it takes effect. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 413, 429]);
/** Codes of errors before a connection was established. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const pageSchema = z.object({
  records: z.array(z.object({offset: z.int().min(0), data: z.string()})),
  firstOffset: z.int().min(0),
  nextOffset: z.int().min(0),
});

const appendReplySchema = z.object({firstOffset: z.int().min(0)});

/** Address of the log and timeout of its answers. */
export interface PlatformLogOptions {
  /** IP address and port. */
  readonly address: string;
  readonly name: string;
  /** Timeout of one answer in milliseconds, beyond the wait of a long poll. */
  readonly timeLimit: number;
}

/** Client of one log. */
export class PlatformLogClient implements PlatformLog {
  private readonly agent: Agent;
  private readonly url: string;

  constructor(
    private readonly options: PlatformLogOptions,
    private readonly random: () => number = Math.random,
  ) {
    this.url = `http://${options.address}/logs/${options.name}`;
    this.agent = new Agent({connect: {timeout: options.timeLimit}});
  }

  async read(
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    const url = `${this.url}?from=${fromOffset}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + this.options.timeLimit;
    return pageSchema.parse(
      await this.sendCall('GET', url, timeoutMs, {signal}),
    );
  }

  async append(
    record: LogRecord,
    searchFrom: number,
    timeoutMs: number,
  ): Promise<LoggedRecord> {
    const data = JSON.stringify(record);
    const deadline = performance.now() + timeoutMs;
    const backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, this.random);
    let mayBeAppended = false;
    for (;;) {
      try {
        const found = mayBeAppended
          ? await this.findRecord(record.id, searchFrom)
          : undefined;
        if (found) return found;
        return {offset: await this.appendOnce(data), data};
      } catch (error) {
        if (!(error instanceof LogUnavailableError)) throw error;
        mayBeAppended ||= error.mayHaveTakenEffect;
        const remainingMs = deadline - performance.now();
        if (remainingMs <= 0) {
          throw new LogUnavailableError(error.message, mayBeAppended);
        }
        await backoff.wait(AbortSignal.timeout(Math.ceil(remainingMs)));
      }
    }
  }

  /** Closes the connections to the log. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Searches the log for a record by its id. */
  private async findRecord(
    id: string,
    searchFrom: number,
  ): Promise<LoggedRecord | undefined> {
    let offset = searchFrom;
    for (;;) {
      const page = await this.read(offset, 0);
      const found = page.records.find(({data}) => readRecordId(data) === id);
      if (found || page.records.length === 0) return found;
      offset = page.records.at(-1)!.offset + 1;
    }
  }

  private async appendOnce(data: string): Promise<number> {
    const body = JSON.stringify({records: [data]});
    const {timeLimit} = this.options;
    const answer = await this.sendCall('POST', this.url, timeLimit, {body});
    return appendReplySchema.parse(answer).firstOffset;
  }

  private async sendCall(
    method: 'GET' | 'POST',
    url: string,
    timeoutMs: number,
    options: {body?: string; signal?: AbortSignal | undefined},
  ): Promise<unknown> {
    const timeout = AbortSignal.timeout(timeoutMs);
    const signal = options.signal
      ? AbortSignal.any([timeout, options.signal])
      : timeout;
    try {
      const answer = await request(url, {
        method,
        signal,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        ...(options.body === undefined ? {} : {body: options.body}),
      });
      if (answer.statusCode === STATUS_OK) return await answer.body.json();
      await answer.body.dump();
      throw new LogUnavailableError(
        `platform log answered with status ${answer.statusCode}`,
        !REFUSED_STATUSES.has(answer.statusCode),
      );
    } catch (error) {
      throw toUnavailableError(error);
    }
  }
}

function readRecordId(data: string): unknown {
  try {
    return (JSON.parse(data) as {id?: unknown} | null)?.id;
  } catch {
    return undefined;
  }
}

function toUnavailableError(error: unknown): LogUnavailableError {
  if (error instanceof LogUnavailableError) return error;
  const code = (error as {code?: string}).code ?? '';
  return new LogUnavailableError(String(error), !UNSENT_ERROR_CODES.has(code));
}
