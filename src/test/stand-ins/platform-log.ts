/**
 * Stand-in for the platform's append-only log service. Tests can simulate
 * outages, delays, lost answers of successful appends, and retention.
 *
 * - `POST /logs/NAME` with `{records: [text, ...]}` appends and answers with
 *   `{firstOffset, nextOffset}`.
 * - `GET /logs/NAME?from=N&wait_ms=M` reads and answers with `{records:
 *   [{offset, data}], firstOffset, nextOffset}`. It waits up to M ms for a
 *   record when there is none from N on.
 * - `POST /control` sets any of the fields of LogControl.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import Emittery from 'emittery';
import {readWholeBody, sendJson, startOnLoopback} from './json-http.js';

/** Faults and limits of the log that tests can change. */
export interface LogControl {
  /** Refuses every call while set. */
  isDown: boolean;
  /** Leaves every call without an answer while set. */
  isSilent: boolean;
  /** Delay of every answer in milliseconds. */
  delayMs: number;
  /** Number of next appends that take effect but are not answered. */
  lostAnswers: number;
  /**
   * Goes down after an append of a record that contains this text; empty:
   * never.
   */
  downAfterRecord: string;
  /** Number of newest records that are kept; older ones expire. */
  retainedRecords: number;
  /** Appends per second; further ones are refused. */
  appendsPerSecond: number;
}

const MAX_RECORDS_PER_READ = 1000;
const MS_PER_SECOND = 1000;

interface StoredLog {
  firstOffset: number;
  readonly records: string[];
}

/** Stand-in for the log service; one instance serves any number of logs. */
export class PlatformLogStandIn {
  readonly control: LogControl = {
    isDown: false,
    isSilent: false,
    delayMs: 0,
    lostAnswers: 0,
    downAfterRecord: '',
    retainedRecords: 100_000,
    appendsPerSecond: 500,
  };
  /** Number of calls since the start, failed ones included. */
  callCount = 0;
  /** Number of accepted appends since the start. */
  appendCount = 0;
  readCount = 0;
  address = '';
  private readonly logs = new Map<string, StoredLog>();
  private readonly events = new Emittery<{appended: undefined}>();
  private secondStartedAt = 0;
  private appendsThisSecond = 0;
  private readonly server = createServer((message, response) => {
    void this.serve(message, response).catch(() => response.destroy());
  });

  async start(port = 0): Promise<string> {
    this.address = await startOnLoopback(this.server, port);
    return this.address;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Lists the records of a log that have not expired. */
  listRecords(name: string): string[] {
    return [...this.findLog(name).records];
  }

  /** Appends records regardless of all faults; returns their first offset. */
  append(name: string, records: readonly string[]): number {
    const log = this.findLog(name);
    const firstOffset = log.firstOffset + log.records.length;
    log.records.push(...records);
    this.expire(log);
    void this.events.emit('appended');
    return firstOffset;
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://log');
    if (url.pathname === '/control') {
      const body = (await readWholeBody(message)).toString() || '{}';
      Object.assign(this.control, JSON.parse(body));
      sendJson(response, 200, {
        ...this.control,
        appendCount: this.appendCount,
        readCount: this.readCount,
      });
      return;
    }
    const {control} = this;
    this.callCount += 1;
    if (control.isSilent) return;
    if (control.delayMs > 0) await wait(control.delayMs);
    if (control.isDown) {
      sendJson(response, 503, {error: 'down'});
      return;
    }
    const name = url.pathname.replace('/logs/', '');
    if (message.method === 'POST')
      await this.serveAppend(name, message, response);
    else await this.serveRead(name, url, response);
  }

  private async serveAppend(
    name: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {records} = JSON.parse((await readWholeBody(message)).toString()) as {
      records: string[];
    };
    if (!this.admitAppend()) {
      sendJson(response, 429, {error: 'too many appends'});
      return;
    }
    this.appendCount += 1;
    const {downAfterRecord} = this.control;
    if (downAfterRecord && records.some(each => each.includes(downAfterRecord)))
      this.control.isDown = true;
    const firstOffset = this.append(name, records);
    if (this.control.lostAnswers > 0) {
      this.control.lostAnswers -= 1;
      response.destroy();
      return;
    }
    const nextOffset = firstOffset + records.length;
    sendJson(response, 200, {firstOffset, nextOffset});
  }

  private async serveRead(
    name: string,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    this.readCount += 1;
    const log = this.findLog(name);
    const from = Number(url.searchParams.get('from') ?? 0);
    const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
    const until = performance.now() + waitMs;
    while (
      log.firstOffset + log.records.length <= from &&
      performance.now() < until &&
      !this.control.isDown
    ) {
      await Promise.race([
        this.events.once('appended'),
        wait(Math.min(100, Math.max(1, until - performance.now()))),
      ]);
    }
    if (this.control.isDown || this.control.isSilent) {
      response.destroy();
      return;
    }
    const start = Math.max(0, from - log.firstOffset);
    const page = log.records.slice(start, start + MAX_RECORDS_PER_READ);
    sendJson(response, 200, {
      records: page.map((data, index) => ({
        offset: log.firstOffset + start + index,
        data,
      })),
      firstOffset: log.firstOffset,
      nextOffset: log.firstOffset + log.records.length,
    });
  }

  private admitAppend(): boolean {
    const now = performance.now();
    if (now - this.secondStartedAt >= MS_PER_SECOND) {
      this.secondStartedAt = now;
      this.appendsThisSecond = 0;
    }
    this.appendsThisSecond += 1;
    return this.appendsThisSecond <= this.control.appendsPerSecond;
  }

  private expire(log: StoredLog): void {
    const excess = log.records.length - this.control.retainedRecords;
    if (excess <= 0) return;
    log.records.splice(0, excess);
    log.firstOffset += excess;
  }

  private findLog(name: string): StoredLog {
    let log = this.logs.get(name);
    if (!log) {
      log = {firstOffset: 0, records: []};
      this.logs.set(name, log);
    }
    return log;
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
