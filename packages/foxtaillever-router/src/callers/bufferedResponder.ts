/** Collects an answer and sends it when it is complete. */
import { CallerHeader, type Failure, type StreamEnd } from 'foxtaillever-core'
import type { Responder } from '../core/request.js'
import { chunkForms } from './chunkForm.js'
import { sendFailure, type ResponderOptions } from './streamResponder.js'

export class BufferedResponder implements Responder {
  private readonly texts: string[] = []

  private constructor (private readonly options: ResponderOptions) {}

  static create (options: ResponderOptions): BufferedResponder {
    return new BufferedResponder(options)
  }

  started (): void {}

  token (_sequence: number, data: string): boolean {
    this.texts.push(chunkForms[this.options.submission.path].textOf(data))
    return true
  }

  finished (end: StreamEnd): void {
    const { response, submission } = this.options
    const { id, model } = submission.job
    response.writeHead(200, { 'content-type': 'application/json', [CallerHeader.RequestId]: id })
    response.end(JSON.stringify(chunkForms[submission.path].whole(id, model, this.texts.join(''), end)))
  }

  failed (failure: Failure): void {
    sendFailure(this.options, failure)
  }
}
